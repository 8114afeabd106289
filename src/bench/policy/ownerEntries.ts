/**
 * Simulated entry VMs that run the daemon's dispatcher, cold leases and prober.
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
import * as simulation from "./simulation.js";

const gossipIntervalMs = 1_000;
/** Delay until a cell load reaches the other entry VMs. */
const gossipDelayMs = 500;

interface EntryVm {
    readonly member: membership.Member;
    readonly dispatcher: routing.ProbedDispatcher;
    setConfiguration(configuration: config.Configuration): void;
    setOwnership(ownership: membership.Ownership): void;
    setLoads(loads: ReadonlyMap<types.CellId, readonly membership.CellLoad[]>): void;
}

export interface OwnerEntries {
    /** Send function of each entry VM, by index. */
    readonly sendFunctions: readonly simulation.SendCall[];
    /** Index of the entry VM that a lookup returns to callers in a zone. */
    findOwner(zone: types.ZoneName): number;
    /** Publishes the out-of-service zones to all entry VMs. */
    updateConfiguration(): void;
}

/**
 * Creates the entry VMs of a scenario.
 *
 * @param sim - simulated targets, links and time
 * @param scenario - sizes and policy
 * @returns the entry VMs
 */
export const createOwnerEntries = (sim: simulation.Simulation, scenario: policyTypes.Scenario): OwnerEntries => {
    const { scheduler, random, zones } = sim;
    const logger = silentLogger.createSilentLogger();
    const { table } = memoryPlatform.createMemoryPlatform();
    const service = ids.toServiceName(scenario.shape.name);
    const targets = new Map(sim.targets.map(target => [target.config.id, target]));
    let tokenCount = 0;

    const toDispatcherReport = (report: routing.TargetReport): routing.TargetReport =>
        scenario.policy.coldLeases ? report : { ...report, state: "warm", boot: undefined };

    const createEntry = (index: number): EntryVm => {
        const member = fixtures.createMember(`entry-${String(index)}`, zones[index % zones.length] ?? "a");
        const blackboard = blackboards.createBlackboard(member.info);
        const leases = coldLeases.createColdLeases({
            incarnation: member.info.incarnation,
            table,
            scheduler,
            createToken: () => String(tokenCount++),
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
                            : { kind: "answered", report: toDispatcherReport(report), latencyMs: delayMs },
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

    const sendToTarget = (entry: EntryVm, grant: routing.SlotGrant & { kind: "local" }, onEnd: () => void): void => {
        const target = targets.get(grant.target.id);
        const linkMs = sim.getDelayMs(entry.member.info.zone, grant.target.zone);
        const startMs = scheduler.now();
        scheduler.schedule(linkMs, () =>
            target?.begin(report =>
                scheduler.schedule(linkMs, () => {
                    const latencyMs = scheduler.now() - startMs;
                    grant.release({ kind: "answered", latencyMs, report: toDispatcherReport(report) });
                    onEnd();
                }),
            ),
        );
    };

    const acquire = (entry: EntryVm, call: simulation.SimCall, mayForward: boolean): Promise<routing.SlotGrant> =>
        entry.dispatcher.acquire({
            call: ids.toCallId("call"),
            service,
            deadlineAtMs: call.deadlineAtMs,
            exclude: [],
            excludeMembers: [],
            mayForward,
            signal: new AbortController().signal,
        });

    const handleGrant = (entry: EntryVm, call: simulation.SimCall, grant: routing.SlotGrant): void => {
        switch (grant.kind) {
            case "refused":
                call.finish("refused");
                break;
            case "local":
                sendToTarget(entry, grant, () => call.finish("answered"));
                break;
            case "remote": {
                const owner = entries.find(candidate => candidate.member.info.vm === grant.member.info.vm);
                const linkMs = sim.getDelayMs(entry.member.info.zone, grant.member.info.zone);
                const finish: simulation.SimCall["finish"] = outcome =>
                    void scheduler.schedule(linkMs, () => call.finish(outcome));
                const forwardedCall = { deadlineAtMs: call.deadlineAtMs - 2 * linkMs, finish };
                scheduler.schedule(linkMs, () => {
                    if (owner !== undefined) {
                        void acquire(owner, forwardedCall, false).then(result =>
                            handleGrant(owner, forwardedCall, result),
                        );
                    }
                });
                break;
            }
        }
    };

    const publishLoads = (): void => {
        const loads = new Map<types.CellId, readonly membership.CellLoad[]>();
        entries.forEach(entry => entry.dispatcher.listCellLoads().forEach(load => loads.set(load.cell, [load])));
        scheduler.schedule(gossipDelayMs, () => entries.forEach(entry => entry.setLoads(loads)));
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
        sendFunctions: entries.map(
            entry => call => void acquire(entry, call, true).then(grant => handleGrant(entry, call, grant)),
        ),
        findOwner: zone => entries.findIndex(entry => entry.member.info.zone === zone),
        updateConfiguration,
    };
};
