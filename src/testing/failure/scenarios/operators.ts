/**
 * Two operators repeatedly change the configuration at the same time, while responses of the table service are lost and
 * an entry VM is replaced. At most one of two concurrent changes may be accepted, and no revision may be reverted.
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as configStatus from "../configStatus.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as runScenarios from "../runScenario.js";
import * as types from "../Types.js";

const rounds = 4;
const acceptedCode = 0;
const conflictCode = 3;
const unknownCode = 5;

/** Publishes the file of one service with another deadline, based on the revision that the operator has read. */
const publishDeadline = async (context: types.Context, name: string, deadlineMs: number, base: number) => {
    const source = path.join(context.system.configFolder, "bookings.yaml");
    const folder = path.join(path.dirname(context.system.configFolder), name);
    await fs.mkdir(folder, { recursive: true });
    const text = await fs.readFile(source, "utf8");
    await fs.writeFile(
        path.join(folder, "bookings.yaml"),
        text.replace(/deadlineMs: \d+/, `deadlineMs: ${deadlineMs}`),
    );
    return context.system.runCommand(["publish", folder, "--base", String(base), "--author", name]);
};

const readRevision = async (context: types.Context): Promise<number> => {
    const statuses = await Promise.all(context.system.entries.map(configStatus.readStatus));
    return Math.max(...statuses.map(status => status?.revision ?? 0));
};

export const operators: types.Scenario = {
    name: "operators",
    requirements: ["G4"],
    negativeControls: [],
    seed: 1111,
    plan: plans.threeZones,
    entryArgs: plans.shortIntervalArgs,
    run: async context => {
        const { system } = context;
        const watch = configStatus.startRevisionWatch(context, runScenarios.propagationLimitMs);
        const traffic = context.startTraffic({ workers: 4, createRequest: requests.createBooking });
        for (let round = 0; round < rounds; round++) {
            const base = await readRevision(context);
            await system.setPlatformFaults({ loseAnswers: round % 2 });
            const results = await Promise.all([
                publishDeadline(context, "first", 5000 + 2 * round, base),
                publishDeadline(context, "second", 5001 + 2 * round, base),
            ]);
            const codes = results.map(result => Number(result.exitCode));
            context.addNote(`round ${round} on revision ${base}: exit codes ${codes.join(" and ")}`);
            if (codes.filter(code => code === acceptedCode).length > 1) {
                context.addViolation("race", `both operators' changes of revision ${base} were accepted`);
            }
            const isExpected = (code: number): boolean => [acceptedCode, conflictCode, unknownCode].includes(code);
            if (!codes.every(isExpected) || !codes.includes(acceptedCode)) {
                const lines = results.flatMap(result => result.lines).join("\n");
                context.addViolation("race", `exit codes ${codes.join(" and ")}:\n${lines}`);
            }
            if (codes.includes(acceptedCode)) {
                watch.addAccepted(base + 1);
            }
            if (round === 1) {
                requests.getEntry(context, 1).process.sendSignal("SIGKILL");
                const replacement = await system.startEntry("entry-2", requests.getEntry(context, 1).zone);
                await system.waitForHealth(replacement);
                context.addNote("killed and replaced entry-2");
            }
        }
        await traffic.waitForRuns(20);
        await Promise.all([traffic.stop(), watch.stop()]);
    },
};
