/**
 * Keys of callers' own are sent through several entry VMs while the table service loses requests, loses answers after
 * the write took effect, and is down; an entry VM is killed at the same time.
 */
import * as httpServer from "../../http/httpServer.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const rounds = 12;
const killRound = 6;
const outageMs = 300;

/** What goes wrong at the table service in one round. */
const addFault = async (context: types.Context, round: number): Promise<void> => {
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
    const sending = {
        call,
        service: "bookings",
        path: "/bookings",
        key: `own-${context.seed}-${round}-${index}`,
        body: Buffer.from(call),
        deadlineMs: 4000,
    };
    const { entries } = context.system;
    const first = index % entries.length;
    const shifted = [...entries.slice(first), ...entries.slice(0, first)];
    for (let repeat = 0; repeat < 2; repeat++) {
        await Promise.all(shifted.map(entry => context.send({ ...sending, entry })));
    }
};

export const foreign: types.Scenario = {
    name: "foreign",
    proves: ["G1", "G2"],
    teeth: [{ unsafe: "no-arbiter", rules: ["at-most-once"] }],
    seed: 909,
    plan: plans.threeZones,
    entryArgs: plans.quickArgs,
    run: async context => {
        const { setPlatformFaults } = context.system;
        await requests.waitForLookups(context, "bookings");
        const traffic = context.startTraffic({ workers: 4, createRequest: requests.createBooking });
        for (let round = 0; round < rounds; round++) {
            await addFault(context, round);
            const calls = [0, 1, 2].map(index => sendForeign(context, round, index));
            if (round === killRound) {
                requests.getEntry(context, 2).process.sendSignal("SIGKILL");
                context.note("killed entry-3");
            }
            await httpServer.waitMs(outageMs);
            await setPlatformFaults({ table: "none", latencyMs: 0 });
            await Promise.all(calls);
        }
        const entry = requests.getEntry(context, 0);
        const last = { entry, call: "last", service: "bookings", path: "/bookings", key: `last-${context.seed}` };
        const answer = await context.send(last);
        if (answer.outcome !== "ran") {
            context.addViolation("answered", `a foreign key after the faults got ${answer.error ?? "no answer"}`);
        }
        await traffic.stop();
    },
};
