/**
 * An entry VM is frozen while a zone is taken out of service, and continues with calls for that zone in its socket
 * buffers. It must not start them in the zone.
 */
import * as undici from "undici";
import * as httpServer from "../../http/httpServer.js";
import * as systemTypes from "../../system/Types.js";
import * as configStatus from "../configStatus.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as runScenarios from "../runScenario.js";
import * as types from "../Types.js";

const frozenZone = "zone-a";

/** G4: an entry VM that reports a fresh configuration uses the accepted revision. */
const checkRevision = async (context: types.Context, entry: systemTypes.EntryVm, revision: number): Promise<void> => {
    const status = await configStatus.readStatus(entry);
    if (status?.fresh === true && status.revision < revision) {
        context.addViolation("reverted", `${entry.vm} uses revision ${status.revision} instead of ${revision}`);
    }
};

/**
 * Takes the zone out of service and returns the time at which the other entry VMs, a majority, had adopted the
 * revision.
 */
const takeZoneOut = async (context: types.Context, others: readonly systemTypes.EntryVm[]): Promise<number> => {
    const command = context.system.runCommand(["zone", "out", frozenZone, "--wait-ms", "2000"]);
    await context.waitFor("the others have the new revision", async () => {
        const statuses = await Promise.all(others.map(configStatus.readStatus));
        return statuses.every(status => status !== undefined && status.revision >= 2);
    });
    const acceptedAtMs = httpServer.readMachineClockMs();
    const result = await command;
    if (result.exitCode !== 0) {
        context.addViolation("accepted", `zone out exited with ${result.exitCode}: ${result.lines.join(" ")}`);
    }
    return acceptedAtMs;
};

export const frozen: types.Scenario = {
    name: "frozen",
    requirements: ["G5", "G4", "G2"],
    negativeControls: [{ unsafe: "no-freshness", rules: ["removed-zone"] }],
    seed: 505,
    plan: plans.fiveEntries,
    entryArgs: plans.shortIntervalArgs,
    hasPlatformRelays: true,
    hasControlRelays: true,
    run: async context => {
        const { system } = context;
        const owner = await findOwner(context);
        const others = system.entries.filter(entry => entry !== owner);
        const traffic = context.startTraffic({
            workers: 9,
            createRequest: requests.createBooking,
            listEntries: () => others,
        });
        await traffic.waitForRuns(30);
        owner.process.sendSignal("SIGSTOP");
        // Without the cut, the announcement would wait in a socket buffer like the calls and could be read first.
        system.controlRelays.get(owner.vm)?.setState({ kind: "cut" });
        context.addNote(`froze ${owner.vm}, owner of bookings in ${frozenZone}`);
        const buffered = requests.sendBuffered(context, owner);
        const acceptedAtMs = await takeZoneOut(context, others);
        context.addRemoval({ zone: frozenZone, acceptedAtMs });
        context.addNote(`${frozenZone} is out of service`);
        const untilMs = acceptedAtMs + runScenarios.propagationLimitMs + 500;
        await httpServer.waitMs(Math.max(0, untilMs - httpServer.readMachineClockMs()));
        // The entry VM must not learn of the new revision before it reads the calls.
        system.controlRelays.forEach(link => link.setState({ kind: "cut" }));
        system.relays.get(owner.vm)?.setState({ kind: "cut" });
        owner.process.sendSignal("SIGCONT");
        context.addNote(`${owner.vm} continues`);
        await checkRevision(context, owner, 2);
        await buffered;
        system.controlRelays.forEach(link => link.setState({ kind: "pass" }));
        system.relays.get(owner.vm)?.setState({ kind: "pass" });
        await Promise.all(system.entries.map(entry => checkRevision(context, entry, 2)));
        await traffic.waitForRuns(30);
        await traffic.stop();
    },
};

/** Finds the entry VM that a lookup lists first for the zone. */
const findOwner = async (context: types.Context): Promise<systemTypes.EntryVm> => {
    const first = requests.getEntry(context, 0);
    const response = await undici.request(`http://${first.listen}/lookup/bookings?zone=${frozenZone}`);
    const lookup = (await response.body.json()) as { entries: { vm: string }[] };
    const owner = context.system.entries.find(entry => entry.vm === lookup.entries[0]?.vm);
    if (owner === undefined || owner.zone !== frozenZone) {
        throw new Error(`no entry VM of ${frozenZone} owns bookings there: ${JSON.stringify(lookup)}`);
    }
    return owner;
};
