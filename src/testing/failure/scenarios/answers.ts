/**
 * Targets cross the answers of two calls, break off answers, answer late, and crash.
 */
import * as httpServer from "../../http/httpServer.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const rounds = 8;
const pauseMs = 250;
const slowFactor = 4;

/** Each target crosses a pair of answers or breaks off two, in turns; now and then it turns slow or crashes. */
const addFaults = async (context: types.Context, round: number): Promise<void> => {
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
    proves: ["G3", "G1"],
    teeth: [
        { unsafe: "no-echo-check", rules: ["own-answer"] },
        { unsafe: "end-truncated", rules: ["own-answer"] },
    ],
    seed: 303,
    plan: plans.threeZones,
    entryArgs: plans.quickArgs,
    run: async context => {
        const bookings = context.startTraffic({ workers: 12, createRequest: requests.createBooking });
        const notes = context.startTraffic({ workers: 12, createRequest: requests.createNote });
        await bookings.waitForRuns(20);
        for (let round = 0; round < rounds; round++) {
            await addFaults(context, round);
            await httpServer.waitMs(pauseMs);
        }
        await bookings.waitForRuns(20);
        await Promise.all([bookings.stop(), notes.stop()]);
    },
};
