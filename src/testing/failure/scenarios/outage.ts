/**
 * A long outage of the table service and the object store under traffic. During the outage, one entry VM is killed and
 * replaced, and another is frozen and continues. A revision accepted before the outage must stay in force everywhere.
 */
import * as httpServer from "../../http/httpServer.js";
import * as configStatus from "../configStatus.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as runScenarios from "../runScenario.js";
import * as types from "../Types.js";

/** Longer than the freshness limit (3 s) and the member timeout (3 s). */
const freezeMs = 5500;
const removedZone = "zone-c";

export const outage: types.Scenario = {
    name: "outage",
    requirements: ["G1", "G4", "G5"],
    negativeControls: [{ unsafe: "no-freshness", rules: ["late", "removed-zone"] }],
    seed: 1010,
    plan: plans.fiveEntries,
    entryArgs: plans.shortIntervalArgs,
    hasControlRelays: true,
    run: async context => {
        const { system } = context;
        const watch = configStatus.startRevisionWatch(context, runScenarios.propagationLimitMs);
        const traffic = context.startTraffic({ workers: 9, createRequest: requests.createBooking });
        await traffic.waitForRuns(30);
        const frozenEntry = requests.getEntry(context, 2);
        frozenEntry.process.sendSignal("SIGSTOP");
        // Without the cut, the announcement would wait in a socket buffer like the calls and could be read first.
        system.controlRelays.get(frozenEntry.vm)?.setState({ kind: "cut" });
        context.addNote("froze entry-3");
        const buffered = requests.sendBuffered(context, frozenEntry);
        const removed = await system.runCommand(["zone", "out", removedZone, "--wait-ms", "1000"]);
        const acceptedAtMs = httpServer.readMachineClockMs();
        if (removed.exitCode !== 0) {
            context.addViolation("accepted", `zone out exited with ${removed.exitCode}: ${removed.lines.join(" ")}`);
        }
        context.addRemoval({ zone: removedZone, acceptedAtMs });
        watch.addAccepted(2);
        await system.setPlatformFaults({ table: "refuse", objects: "refuse" });
        context.addNote("revision 2 takes zone-c out; table and objects are down");
        requests.getEntry(context, 0).process.sendSignal("SIGKILL");
        const replacement = await system.startEntry("entry-6", "zone-a");
        context.addNote("killed entry-1, started entry-6");
        await httpServer.waitMs(freezeMs);
        // The entry VM must not learn of the new revision before it reads the calls.
        system.controlRelays.forEach(link => link.setState({ kind: "cut" }));
        frozenEntry.process.sendSignal("SIGCONT");
        context.addNote("entry-3 continues");
        await buffered;
        system.controlRelays.forEach(link => link.setState({ kind: "pass" }));
        await traffic.waitForRuns(30);
        await context.waitFor("the replacement uses revision 2 during the outage", async () => {
            const status = await configStatus.readStatus(replacement);
            return status?.fresh === true && status.revision === 2;
        });
        await system.setPlatformFaults({ table: "none", objects: "none" });
        await traffic.waitForRuns(30);
        await Promise.all([traffic.stop(), watch.stop()]);
    },
};
