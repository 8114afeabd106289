/**
 * All open connections to the targets go silent; new ones work.
 */
import * as httpServer from "../../http/httpServer.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const rounds = 3;
const callsInRound = 9;
/** Longer than the second within which an idle connection counts as working. */
const idleMs = 1500;

export const silent: types.Scenario = {
    name: "silent",
    proves: ["G1", "G3"],
    teeth: [{ unsafe: "reuse-idle", rules: ["answered"] }],
    seed: 606,
    plan: plans.threeZones,
    entryArgs: plans.quickArgs,
    run: async context => {
        await requests.waitForLookups(context, "payouts");
        const targets = Object.keys(context.system.targets);
        for (let round = 0; round < rounds; round++) {
            const answers = await Promise.all(
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
            const lost = answers.filter(answer => answer.outcome !== "ran");
            if (lost.length > 0) {
                const what = lost.map(answer => answer.error ?? "no answer").join(", ");
                context.addViolation("answered", `${lost.length} of ${callsInRound} calls in round ${round}: ${what}`);
            }
            await Promise.all(targets.map(name => context.system.setTargetFaults(name, { silenceConnections: true })));
            context.note("all open connections to targets are silent");
            await httpServer.waitMs(idleMs);
        }
    },
};
