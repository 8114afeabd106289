/**
 * Targets swap the responses of two calls, truncate responses, respond late and crash. Callers must get only complete
 * responses of their own, and no non-idempotent call may run twice.
 */
import * as httpServer from "../../http/httpServer.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const rounds = 8;
const pauseMs = 250;
const slowFactor = 4;

/** In alternate rounds, each target swaps a pair of responses or truncates two; some targets become slower or crash. */
const setRoundFaults = async (context: types.Context, round: number): Promise<void> => {
    const names = Object.keys(context.system.targets).filter(name => name.startsWith("bookings"));
    await Promise.all(
        names.map((name, index) =>
            context.system.setTargetFaults(name, {
                crossAnswers: round % 2 === 0 ? 1 : 0,
                truncateAnswers: round % 2 === 1 ? 2 : 0,
                slowFactor: (round + index) % 4 === 0 ? 10 * slowFactor : slowFactor,
                crash: round % 3 === 2 && index === 0,
            }),
        ),
    );
};

export const answers: types.Scenario = {
    name: "answers",
    requirements: ["G3", "G1"],
    negativeControls: [
        { unsafe: "no-echo-check", rules: ["own-answer"] },
        { unsafe: "end-truncated", rules: ["own-answer"] },
    ],
    seed: 303,
    plan: plans.threeZones,
    entryArgs: plans.shortIntervalArgs,
    run: async context => {
        const bookings = context.startTraffic({ workers: 12, createRequest: requests.createBooking });
        const notes = context.startTraffic({ workers: 12, createRequest: requests.createNote });
        await bookings.waitForRuns(20);
        for (let round = 0; round < rounds; round++) {
            await setRoundFaults(context, round);
            await httpServer.waitMs(pauseMs);
        }
        await bookings.waitForRuns(20);
        await Promise.all([bookings.stop(), notes.stop()]);
    },
};
