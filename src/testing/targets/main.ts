/**
 * Process that hosts one or more target stand-ins, each on its own port.
 */
import * as fs from "node:fs/promises";
import * as commander from "commander";
import * as targetServer from "./targetServer.js";
import * as types from "./Types.js";

const run = async (options: { readonly file: string }): Promise<void> => {
    const specs = JSON.parse(await fs.readFile(options.file, "utf8")) as Partial<types.TargetSpec>[];
    const servers = await Promise.all(specs.map(spec => targetServer.startTargetServer(spec)));
    const addresses = Object.fromEntries(servers.map((server, index) => [specs[index]?.id ?? "", server.address]));
    process.stdout.write(`${JSON.stringify({ kind: "ready", addresses })}\n`);
    const closeAll = (): Promise<unknown> => Promise.all(servers.map(server => server.close()));
    process.once("SIGTERM", () => void closeAll().then(() => process.exit(0)));
};

await new commander.Command("targets")
    .requiredOption("--file <path>", "JSON list of target specifications")
    .action(run)
    .parseAsync();
