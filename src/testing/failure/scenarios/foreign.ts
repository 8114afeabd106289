/**
 * Foreign keys are sent through several entry VMs while the table service loses requests, loses responses to writes
 * that took effect, and is down; an entry VM is killed at the same time. Each key may run at most once.
 */
import * as httpServer from "../../http/httpServer.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const rounds = 12;
const killRound = 6;
const outageMs = 300;

/** Sets the faults of the table service for one round. */
const setRoundFaults = async (context: types.Context, round: number): Promise<void> => {
    const { setPlatformFaults } = context.system;
    switch (round % 4) {
        case 0:
            return setPlatformFaults({ loseAnswers: 2 });
        case 1:
            return setPlatformFaults({ loseRequests: 2 });
        case 2:
            return setPlatformFaults({ loseAnswers: 1, table: "refuse" });
        default:
            return setPlatformFaults({ loseAnswers: 1, loseRequests: 1, latencyMs: 20 });
    }
};

const sendForeign = async (context: types.Context, round: number, index: number): Promise<void> => {
    const call = `foreign-${round}-${index}`;
    const request = {
        call,
        service: "bookings",
        path: "/bookings",
        key: `own-${context.seed}-${round}-${index}`,
        body: Buffer.from(call),
        deadlineMs: 4000,
    };
    const { entries } = context.system;
    const first = index % entries.length;
    const rotated = [...entries.slice(first), ...entries.slice(0, first)];
    for (let repeat = 0; repeat < 2; repeat++) {
        await Promise.all(rotated.map(entry => context.send({ ...request, entry })));
    }
};

export const foreign: types.Scenario = {
    name: "foreign",
    requirements: ["G1", "G2"],
    negativeControls: [{ unsafe: "no-arbiter", rules: ["at-most-once"] }],
    seed: 909,
    plan: plans.threeZones,
    entryArgs: plans.shortIntervalArgs,
    run: async context => {
        const { setPlatformFaults } = context.system;
        await requests.waitForLookups(context, "bookings");
        const traffic = context.startTraffic({ workers: 4, createRequest: requests.createBooking });
        for (let round = 0; round < rounds; round++) {
            await setRoundFaults(context, round);
            const calls = [0, 1, 2].map(index => sendForeign(context, round, index));
            if (round === killRound) {
                requests.getEntry(context, 2).process.sendSignal("SIGKILL");
                context.addNote("killed entry-3");
            }
            await httpServer.waitMs(outageMs);
            await setPlatformFaults({ table: "none", latencyMs: 0 });
            await Promise.all(calls);
        }
        const entry = requests.getEntry(context, 0);
        const last = { entry, call: "last", service: "bookings", path: "/bookings", key: `last-${context.seed}` };
        const response = await context.send(last);
        if (response.outcome !== "ran") {
            context.addViolation("answered", `a foreign key after the faults got ${response.error ?? "no response"}`);
        }
        await traffic.stop();
    },
};
