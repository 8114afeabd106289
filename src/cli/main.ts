#!/usr/bin/env node
/**
 * Entry point of the `tarragonpath` executable.
 */
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as os from "node:os";
import * as runEntry from "../node/entry/runEntry.js";
import * as rpcClient from "../node/peers/rpcClient.js";
import * as platformClient from "../node/platform/platformClient.js";
import * as logLines from "./logLines.js";
import * as program from "./program.js";
import * as sourceFiles from "./sourceFiles.js";
import * as systemScheduler from "../node/systemScheduler.js";

const readVersion = (): string => {
    const text = fs.readFileSync(new URL("../../package.json", import.meta.url), "utf8");
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

process.exitCode = await program.runCommandLine(process.argv.slice(2), {
    env: process.env,
    userName: `${readUserName()}@${os.hostname()}`,
    version: readVersion(),
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
