/**
 * An entry VM is frozen while a zone is taken out of service, and continues with calls of that zone in its sockets.
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

/** G4: an entry VM that answers "fresh" has the accepted revision. */
const checkRevision = async (context: types.Context, entry: systemTypes.EntryVm, revision: number): Promise<void> => {
    const status = await configStatus.readStatus(entry);
    if (status?.fresh === true && status.revision < revision) {
        context.addViolation("reverted", `${entry.vm} uses revision ${status.revision} instead of ${revision}`);
    }
};

/** Takes the zone out and returns the time at which the other entry VMs, a majority, had adopted the revision. */
const takeZoneOut = async (context: types.Context, others: readonly systemTypes.EntryVm[]): Promise<number> => {
    const command = context.system.runCommand(["zone", "out", frozenZone, "--wait-ms", "2000"]);
    await context.waitFor("the others have the new revision", async () => {
        const statuses = await Promise.all(others.map(configStatus.readStatus));
        return statuses.every(status => status !== undefined && status.revision >= 2);
    });
    const acceptedAtMs = httpServer.readMachineClockMs();
    const result = await command;
    if (result.exitCode !== 0) {
        context.addViolation("accepted", `zone out ended with ${result.exitCode}: ${result.lines.join(" ")}`);
    }
    return acceptedAtMs;
};

export const frozen: types.Scenario = {
    name: "frozen",
    proves: ["G5", "G4", "G2"],
    teeth: [{ unsafe: "no-freshness", rules: ["removed-zone"] }],
    seed: 505,
    plan: plans.fiveEntries,
    entryArgs: plans.quickArgs,
    hasPlatformRelays: true,
    hasControlRelays: true,
    run: async context => {
        const { system } = context;
        const owner = await findOwner(context);
        const others = system.entries.filter(entry => entry !== owner);
        const traffic = context.startTraffic({
            workers: 9,
            createRequest: requests.createBooking,
            entries: () => others,
        });
        await traffic.waitForRuns(30);
        owner.process.sendSignal("SIGSTOP");
        // Without the cut, the announcement would wait in the socket beside the calls and could be read first.
        system.controlRelays.get(owner.vm)?.setState({ kind: "cut" });
        context.note(`froze ${owner.vm}, owner of bookings in ${frozenZone}`);
        const buffered = requests.sendBuffered(context, owner);
        const acceptedAtMs = await takeZoneOut(context, others);
        context.addRemoval({ zone: frozenZone, acceptedAtMs });
        context.note(`${frozenZone} is out of service`);
        const untilMs = acceptedAtMs + runScenarios.fewSecondsMs + 500;
        await httpServer.waitMs(Math.max(0, untilMs - httpServer.readMachineClockMs()));
        // It must not learn of the new revision before it reads the calls.
        system.controlRelays.forEach(link => link.setState({ kind: "cut" }));
        system.relays.get(owner.vm)?.setState({ kind: "cut" });
        owner.process.sendSignal("SIGCONT");
        context.note(`${owner.vm} continues`);
        await checkRevision(context, owner, 2);
        await buffered;
        system.controlRelays.forEach(link => link.setState({ kind: "pass" }));
        system.relays.get(owner.vm)?.setState({ kind: "pass" });
        await Promise.all(system.entries.map(entry => checkRevision(context, entry, 2)));
        await traffic.waitForRuns(30);
        await traffic.stop();
    },
};

/** The entry VM that a lookup names first in the zone. */
const findOwner = async (context: types.Context): Promise<systemTypes.EntryVm> => {
    const first = requests.getEntry(context, 0);
    const response = await undici.request(`http://${first.listen}/lookup/bookings?zone=${frozenZone}`);
    const answer = (await response.body.json()) as { entries: { vm: string }[] };
    const owner = context.system.entries.find(entry => entry.vm === answer.entries[0]?.vm);
    if (owner === undefined || owner.zone !== frozenZone) {
        throw new Error(`no entry VM of ${frozenZone} owns bookings there: ${JSON.stringify(answer)}`);
    }
    return owner;
};
