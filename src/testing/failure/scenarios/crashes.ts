/**
 * Targets crash during calls, and an entry VM is killed and replaced at the same time. No non-idempotent call may run
 * twice, and no call that started may be reported as not run.
 */
import * as random from "../../../common/random.js";
import * as httpServer from "../../http/httpServer.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const rounds = 16;
const pauseMs = 150;
const killRound = 5;
const replaceRound = 9;
/** Makes calls so slow that most crashes interrupt one. */
const slowFactor = 8;

export const crashes: types.Scenario = {
    name: "crashes",
    requirements: ["G1", "G2"],
    negativeControls: [
        { unsafe: "retry-non-idempotent", rules: ["at-most-once"] },
        { unsafe: "assume-not-sent", rules: ["not-run", "at-most-once"] },
    ],
    seed: 202,
    plan: plans.threeZones,
    entryArgs: plans.shortIntervalArgs,
    run: async context => {
        const generator = random.createRandom(context.seed);
        const names = Object.keys(context.system.targets).filter(name => name.startsWith("bookings"));
        await Promise.all(names.map(name => context.system.setTargetFaults(name, { slowFactor })));
        const bookings = context.startTraffic({ workers: 12, createRequest: requests.createBooking });
        const notes = context.startTraffic({ workers: 6, createRequest: requests.createNote });
        await bookings.waitForRuns(20);
        for (let round = 0; round < rounds; round++) {
            const name = names[generator.nextInt(names.length)] ?? "";
            await context.system.setTargetFaults(name, { crash: true, restartMs: 200 });
            if (round === killRound) {
                requests.getEntry(context, 1).process.sendSignal("SIGKILL");
                context.addNote("killed entry-2");
            }
            if (round === replaceRound) {
                await context.system.startEntry("entry-4", requests.getEntry(context, 1).zone);
                context.addNote("started entry-4 in its place");
            }
            await httpServer.waitMs(pauseMs);
        }
        await bookings.waitForRuns(20);
        await notes.waitForRuns(20);
        await Promise.all([bookings.stop(), notes.stop()]);
    },
};
