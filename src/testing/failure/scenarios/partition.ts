/**
 * An entry VM is partitioned from the platform and its peers, but not from callers and targets, while its zone is taken
 * out of service and callers resend its keys through other entry VMs; then the partition heals.
 */
import * as httpServer from "../../http/httpServer.js";
import * as relay from "../../system/relay.js";
import * as configStatus from "../configStatus.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as runScenarios from "../runScenario.js";
import * as types from "../Types.js";

const isolatedZone = "zone-a";
const pollMs = 150;

/** Cuts or restores the link of one entry VM to the platform and the links between all entry VMs. */
const setLinks = (context: types.Context, vm: string, state: relay.LinkState): void => {
    context.system.relays.get(vm)?.setState(state);
    context.system.controlRelays.forEach(link => link.setState(state));
};

export const partition: types.Scenario = {
    name: "partition",
    requirements: ["G1", "G2", "G4", "G5"],
    negativeControls: [
        { unsafe: "no-freshness", rules: ["removed-zone"] },
        { unsafe: "no-arbiter", rules: ["at-most-once"] },
    ],
    seed: 1212,
    plan: plans.threeZones,
    entryArgs: plans.shortIntervalArgs,
    hasPlatformRelays: true,
    hasControlRelays: true,
    run: async context => {
        const { system } = context;
        await requests.waitForLookups(context, "bookings");
        const isolated = requests.getEntry(context, 0);
        const others = system.entries.slice(1);
        const traffic = context.startTraffic({ workers: 6, createRequest: requests.createBooking });
        await traffic.waitForRuns(30);
        const prefix = await requests.findKeyPrefix(system.entries, isolated, "bookings");
        setLinks(context, isolated.vm, { kind: "cut" });
        context.addNote("cut entry-1 from the platform, and all entry VMs from each other");
        const command = system.runCommand(["zone", "out", isolatedZone, "--wait-ms", "500"]);
        await context.waitFor("the other entry VMs have the new revision", async () => {
            const statuses = await Promise.all(others.map(configStatus.readStatus));
            return statuses.every(status => status?.revision === 2);
        });
        const acceptedAtMs = httpServer.readMachineClockMs();
        context.addRemoval({ zone: isolatedZone, acceptedAtMs });
        await command;
        let number = 0;
        while (httpServer.readMachineClockMs() < acceptedAtMs + runScenarios.propagationLimitMs + 1000) {
            const call = `cut-${++number}`;
            const request = { call, service: "bookings", path: "/bookings", key: `${prefix}${call}`, deadlineMs: 3000 };
            await context.send({ ...request, entry: isolated });
            await Promise.all(others.map(entry => context.send({ ...request, entry })));
            await httpServer.waitMs(pollMs);
        }
        setLinks(context, isolated.vm, { kind: "pass" });
        context.addNote("the links are restored");
        await context.waitFor("the cut entry VM has the new revision", async () => {
            const status = await configStatus.readStatus(isolated);
            return status?.fresh === true && status.revision === 2;
        });
        await traffic.waitForRuns(30);
        await traffic.stop();
    },
};
