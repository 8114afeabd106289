/**
 * Entry point of a load generator process.
 */
import * as fs from "node:fs/promises";
import * as commander from "commander";
import * as callLoad from "./callLoad.js";
import * as rawLoad from "./rawLoad.js";
import * as types from "./Types.js";

const runJob = (job: types.LoadJob): Promise<types.Metrics> => {
    switch (job.kind) {
        case "open":
            return rawLoad.runOpenLoad(job);
        case "closed":
            return rawLoad.runClosedLoad(job);
        case "calls":
            return callLoad.runCallLoad(job);
    }
};

const run = async (options: { readonly file: string }): Promise<void> => {
    const job = JSON.parse(await fs.readFile(options.file, "utf8")) as types.LoadJob;
    const metrics = await runJob(job);
    process.stdout.write(`${JSON.stringify({ kind: "metrics", metrics })}\n`);
};

await new commander.Command("load").requiredOption("--file <path>").action(run).parseAsync();
