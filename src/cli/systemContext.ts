/**
 * The dependencies of the command line on its real process.
 */
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as os from "node:os";
import * as runEntry from "../node/entry/runEntry.js";
import * as rpcClient from "../node/peers/rpcClient.js";
import * as platformClient from "../node/platform/platformClient.js";
import * as systemScheduler from "../node/systemScheduler.js";
import * as logLines from "./logLines.js";
import * as sourceFiles from "./sourceFiles.js";
import * as cli from "./Types.js";

const readVersion = (packageUrl: URL): string => {
    const text = fs.readFileSync(packageUrl, "utf8");
    return (JSON.parse(text) as { version: string }).version;
};

/** Falls back to the user ID because a user without an entry in the system's user database has no name. */
const readUserName = (): string => {
    try {
        return os.userInfo().username;
    } catch {
        return `uid-${process.getuid?.() ?? "unknown"}`;
    }
};

/**
 * Creates the context of this process.
 *
 * @param packageUrl - location of `package.json`, which contains the version
 * @returns the context
 */
export const createSystemContext = (packageUrl: URL): cli.CliContext => ({
    env: process.env,
    userName: `${readUserName()}@${os.hostname()}`,
    version: readVersion(packageUrl),
    scheduler: systemScheduler.createSystemScheduler({ keepAlive: true }),
    createPlatform: platformClient.createPlatformClient,
    createRpc: rpcClient.createRpcClient,
    createToken: () => crypto.randomUUID(),
    runEntry: runEntry.runEntry,
    readLogLines: logLines.readLogLines,
    readFiles: sourceFiles.readSourceFiles,
    writeOut: text => process.stdout.write(text),
    writeError: text => process.stderr.write(text),
});
