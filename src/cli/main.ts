#!/usr/bin/env node
/**
 * Entry point of the `tarragonpath` executable.
 */
import * as program from "./program.js";
import * as systemContext from "./systemContext.js";

const context = systemContext.createSystemContext(new URL("../../package.json", import.meta.url));
process.exitCode = await program.runCommandLine(process.argv.slice(2), context);
