/**
 * Entry VMs with the dispatcher, the cold leases and the prober of the daemon.
 */
import * as blackboards from "../../common/blackboard/blackboard.js";
import * as config from "../../common/config/Types.js";
import * as dispatchers from "../../common/routing/dispatcher.js";
import * as fixtures from "../../common/routing/fixture.js";
import * as ids from "../../common/ids.js";
import * as membership from "../../common/membership/Types.js";
import * as routing from "../../common/routing/Types.js";
import * as types from "../../common/Types.js";
import * as coldLeases from "../../node/coldstart/coldLeases.js";
import * as prober from "../../node/probes/prober.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as policyTypes from "./Types.js";
import * as world from "./world.js";

const gossipIntervalMs = 1_000;
/** Age of a load when it arrives. */
const gossipAgeMs = 500;

interface Entry {
    readonly member: membership.Member;
    readonly dispatcher: routing.ProbedDispatcher;
    setConfiguration(configuration: config.Configuration): void;
    setOwnership(ownership: membership.Ownership): void;
    setLoads(loads: ReadonlyMap<types.CellId, readonly membership.CellLoad[]>): void;
}

export interface OwnerEntries {
    /** Sends of each entry VM. */
    readonly sends: readonly world.SendCall[];
    /** Index of the entry VM that the lookup names for callers in a zone. */
    findOwner(zone: types.ZoneName): number;
    /** Publishes the zones that are out of service. */
    updateConfiguration(): void;
}

/**
 * Creates the entry VMs of a scenario.
 *
 * @param sim - targets and links
 * @param scenario - sizes and policy
 * @returns the entry VMs
 */
export const createOwnerEntries = (sim: world.World, scenario: policyTypes.Scenario): OwnerEntries => {
    const { scheduler, random, zones } = sim;
    const logger = silentLogger.createSilentLogger();
    const { table } = memoryPlatform.createMemoryPlatform();
    const service = ids.toServiceName(scenario.shape.name);
    const targets = new Map(sim.targets.map(target => [target.config.id, target]));
    let tokens = 0;

    const readReport = (report: routing.TargetReport): routing.TargetReport =>
        scenario.policy.coldLeases ? report : { ...report, state: "warm", boot: undefined };

    const createEntry = (index: number): Entry => {
        const member = fixtures.createMember(`entry-${String(index)}`, zones[index % zones.length] ?? "a");
        const blackboard = blackboards.createBlackboard(member.info);
        const leases = coldLeases.createColdLeases({
            incarnation: member.info.incarnation,
            table,
            scheduler,
            createToken: () => String(tokens++),
            leaseMs: 10_000,
            logger,
        });
        const { spillOver, limitDrop } = scenario.policy;
        const options = { blackboard, scheduler, random, coldLeases: leases, logger, spillOver, limitDrop };
        const dispatcher = dispatchers.createDispatcher(options);
        const sendProbe = (target: config.TargetConfig): Promise<prober.ProbeResult> =>
            new Promise(resolve => {
                const delayMs = 2 * sim.getDelayMs(member.info.zone, target.zone) + 6;
                const report = targets.get(target.id)?.getReport();
                scheduler.schedule(delayMs, () =>
                    resolve(
                        report === undefined
                            ? { kind: "failed" }
                            : { kind: "answered", report: readReport(report), latencyMs: delayMs },
                    ),
                );
            });
        prober.createProber({ blackboard, dispatcher, scheduler, random, sendProbe, mayProbe: () => true, logger });
        return {
            member,
            dispatcher,
            setConfiguration: blackboard.configuration.takeWriter("experiment"),
            setOwnership: blackboard.ownership.takeWriter("experiment"),
            setLoads: blackboard.cellLoads.takeWriter("experiment"),
        };
    };

    const entries = Array.from({ length: scenario.entryVms }, (_, index) => createEntry(index));

    const sendToTarget = (entry: Entry, grant: routing.SlotGrant & { kind: "local" }, onEnd: () => void): void => {
        const target = targets.get(grant.target.id);
        const linkMs = sim.getDelayMs(entry.member.info.zone, grant.target.zone);
        const startMs = scheduler.now();
        scheduler.schedule(linkMs, () =>
            target?.begin(report =>
                scheduler.schedule(linkMs, () => {
                    const latencyMs = scheduler.now() - startMs;
                    grant.release({ kind: "answered", latencyMs, report: readReport(report) });
                    onEnd();
                }),
            ),
        );
    };

    const acquire = (entry: Entry, call: world.SimCall, mayForward: boolean): Promise<routing.SlotGrant> =>
        entry.dispatcher.acquire({
            call: ids.toCallId("call"),
            service,
            deadlineAtMs: call.deadlineAtMs,
            exclude: [],
            excludeMembers: [],
            mayForward,
            signal: new AbortController().signal,
        });

    const handleGrant = (entry: Entry, call: world.SimCall, grant: routing.SlotGrant): void => {
        switch (grant.kind) {
            case "refused":
                call.finish("refused");
                break;
            case "local":
                sendToTarget(entry, grant, () => call.finish("answered"));
                break;
            case "remote": {
                const next = entries.find(candidate => candidate.member.info.vm === grant.member.info.vm);
                const linkMs = sim.getDelayMs(entry.member.info.zone, grant.member.info.zone);
                const finish: world.SimCall["finish"] = outcome =>
                    void scheduler.schedule(linkMs, () => call.finish(outcome));
                const forwarded = { deadlineAtMs: call.deadlineAtMs - 2 * linkMs, finish };
                scheduler.schedule(linkMs, () => {
                    if (next !== undefined) {
                        void acquire(next, forwarded, false).then(result => handleGrant(next, forwarded, result));
                    }
                });
                break;
            }
        }
    };

    const publishLoads = (): void => {
        const loads = new Map<types.CellId, readonly membership.CellLoad[]>();
        entries.forEach(entry => entry.dispatcher.listCellLoads().forEach(load => loads.set(load.cell, [load])));
        scheduler.schedule(gossipAgeMs, () => entries.forEach(entry => entry.setLoads(loads)));
        scheduler.schedule(gossipIntervalMs, publishLoads);
    };

    const updateConfiguration = (): void => {
        const { topology } = sim.configuration;
        const zoneConfigs = topology.zones.map(zone => ({ ...zone, out: sim.isZoneOut(zone.name) }));
        const configuration = { ...sim.configuration, topology: { ...topology, zones: zoneConfigs } };
        const members = entries.map(entry => entry.member).filter(member => !sim.isZoneOut(member.info.zone));
        const ownership = fixtures.createOwnership(configuration, members);
        for (const entry of entries) {
            entry.setConfiguration(configuration);
            entry.setOwnership(ownership);
        }
    };

    updateConfiguration();
    publishLoads();
    return {
        sends: entries.map(
            entry => call => void acquire(entry, call, true).then(grant => handleGrant(entry, call, grant)),
        ),
        findOwner: zone => entries.findIndex(entry => entry.member.info.zone === zone),
        updateConfiguration,
    };
};
