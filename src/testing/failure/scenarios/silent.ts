/**
 * All open connections to the targets go silent, while new ones work. Calls must not be lost on the silent ones.
 */
import * as httpServer from "../../http/httpServer.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const rounds = 3;
const callsInRound = 9;
/** Longer than the second for which an idle connection is assumed to work. */
const idleMs = 1500;

export const silent: types.Scenario = {
    name: "silent",
    requirements: ["G1", "G3"],
    negativeControls: [{ unsafe: "reuse-idle", rules: ["answered"] }],
    seed: 606,
    plan: plans.threeZones,
    entryArgs: plans.shortIntervalArgs,
    run: async context => {
        await requests.waitForLookups(context, "payouts");
        const targets = Object.keys(context.system.targets);
        for (let round = 0; round < rounds; round++) {
            const responses = await Promise.all(
                Array.from({ length: callsInRound }, async (_, index) => {
                    const entry = requests.getEntry(context, index % context.system.entries.length);
                    const prefix = await requests.findKeyPrefix(context.system.entries, entry, "bookings");
                    const call = `silent-${round}-${index}`;
                    return context.send({
                        entry,
                        call,
                        service: "bookings",
                        path: "/bookings",
                        key: `${prefix}${call}`,
                        deadlineMs: 5000,
                    });
                }),
            );
            const lost = responses.filter(response => response.outcome !== "ran");
            if (lost.length > 0) {
                const what = lost.map(response => response.error ?? "no response").join(", ");
                context.addViolation("answered", `${lost.length} of ${callsInRound} calls in round ${round}: ${what}`);
            }
            await Promise.all(targets.map(name => context.system.setTargetFaults(name, { silenceConnections: true })));
            context.addNote("all open connections to targets are silent");
            await httpServer.waitMs(idleMs);
        }
    },
};
