/**
 * Process that hosts the stand-in for the platform.
 */
import * as commander from "commander";
import * as platformServer from "./platformServer.js";

const run = async (options: { readonly listen: string }): Promise<void> => {
    const server = await platformServer.startPlatformServer(options.listen);
    process.stdout.write(`${JSON.stringify({ kind: "ready", addresses: { platform: server.address } })}\n`);
    process.once("SIGTERM", () => void server.close().then(() => process.exit(0)));
};

await new commander.Command("platform")
    .option("--listen <address>", "ip:port; port 0 picks a free one", "127.0.0.1:0")
    .action(run)
    .parseAsync();
