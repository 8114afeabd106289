/**
 * A request that crashes every target that runs it is sent again with new ids and keys through several entry VMs. It
 * must be refused after two crashes.
 */
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const poison = "poison";
const resends = 8;
/** Section 3.7 of the design: the request is refused from the second crash on. */
const allowedCrashes = 2;

export const poisonous: types.Scenario = {
    name: "poison",
    requirements: ["G1", "G2"],
    negativeControls: [{ unsafe: "no-crash-count", rules: ["crash-limit"] }],
    seed: 707,
    plan: plans.threeZones,
    entryArgs: plans.shortIntervalArgs,
    run: async context => {
        const { system } = context;
        await requests.waitForLookups(context, "bookings");
        const names = Object.keys(system.targets).filter(name => name.startsWith("bookings"));
        await Promise.all(names.map(name => system.setTargetFaults(name, { poison })));
        const traffic = context.startTraffic({ workers: 4, createRequest: requests.createBooking });
        await traffic.waitForRuns(10);
        let last: types.DirectResponse | undefined;
        for (let number = 0; number < resends; number++) {
            const entry = requests.getEntry(context, number % system.entries.length);
            const prefix = await requests.findKeyPrefix(system.entries, entry, "bookings");
            const call = `poison-${number}`;
            const key = `${prefix}${call}`;
            last = await context.send({ entry, call, service: "bookings", path: `/bookings/${poison}`, key });
        }
        const crashes = (await system.readTargetEvents()).filter(event => event.kind === "crashed").length;
        context.addNote(`${crashes} crashes; the last resend ended with ${last?.error ?? last?.outcome}`);
        if (crashes > allowedCrashes) {
            context.addViolation("crash-limit", `one request crashed targets ${crashes} times`);
        }
        if (crashes <= allowedCrashes && last?.error !== "crashes_targets") {
            context.addViolation("answered", `the last resend ended with ${last?.error ?? last?.outcome}`);
        }
        await traffic.waitForRuns(10);
        await traffic.stop();
    },
};
