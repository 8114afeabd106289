/**
 * Creates small configurations and a dispatcher that runs on virtual time, for tests and experiments.
 */
import * as blackboards from "../blackboard/blackboard.js";
import * as blackboardTypes from "../blackboard/Types.js";
import * as config from "../config/Types.js";
import * as events from "../events.js";
import * as ids from "../ids.js";
import * as membership from "../membership/Types.js";
import * as random from "../random.js";
import * as shared from "../Types.js";
import * as dispatchers from "./dispatcher.js";
import * as types from "./Types.js";

/** Size of a service in a test or an experiment. */
export interface ServiceShape {
    readonly name: string;
    readonly targets: number;
    readonly zones: readonly string[];
    readonly slots: number;
    readonly queueLimit: number;
    readonly linkDelayMs: number;
}

export const smallShape: ServiceShape = {
    name: "bookings",
    targets: 2,
    zones: ["a"],
    slots: 2,
    queueLimit: 4,
    linkDelayMs: 5,
};

/**
 * Creates the configuration of a target. Targets `t0`, `t1` and so on are assigned to the zones in turn.
 *
 * @param shape - size of the service
 * @param index - number of the target
 * @returns the target
 */
export const createTarget = (shape: ServiceShape, index: number): config.TargetConfig => ({
    id: ids.toTargetId(`t${String(index)}`),
    address: ids.toAddress(`127.0.0.1:${String(9000 + index)}`),
    zone: ids.toZoneName(shape.zones[index % shape.zones.length] ?? "a"),
    vm: ids.toVmId(`target-vm-${String(index)}`),
    slots: shape.slots,
    coldSlots: 1,
    out: false,
});

/**
 * Creates a configuration with one service.
 *
 * @param shape - size of the service
 * @param revision - number of the revision
 * @returns the configuration
 */
export const createConfiguration = (shape: ServiceShape, revision = 1): config.Configuration => {
    const service = ids.toServiceName(shape.name);
    const zones = shape.zones.map(name => ids.toZoneName(name));
    const section: config.ServiceSection = {
        kind: "service",
        service,
        deadlineMs: 10_000,
        connections: 200,
        queueLimit: shape.queueLimit,
        maxBodyBytes: 1_000_000,
        ownersPerZone: 1,
        idempotent: [],
        nonIdempotent: [],
        targets: Array.from({ length: shape.targets }, (_, index) => createTarget(shape, index)),
    };
    const links = zones.flatMap((from, index) =>
        zones.slice(index + 1).map(to => ({ from, to, delayMs: shape.linkDelayMs })),
    );
    const region = ids.toRegionName("r");
    return {
        revision: ids.toRevision(revision),
        digests: new Map(),
        topology: {
            kind: "topology",
            zones: zones.map(name => ({ name, region, out: false })),
            links,
            vmsOut: [],
        },
        services: new Map([[service, section]]),
    };
};

/**
 * Creates a copy of a configuration with changed targets.
 *
 * @param configuration - the configuration
 * @param change - called for each target; undefined removes it
 * @returns the copy
 */
export const createChangedConfiguration = (
    configuration: config.Configuration,
    change: (target: config.TargetConfig) => config.TargetConfig | undefined,
): config.Configuration => {
    const services = new Map(
        [...configuration.services].map(([name, section]) => {
            const targets = section.targets.map(change).filter(target => target !== undefined);
            return [name, { ...section, targets }];
        }),
    );
    return { ...configuration, services };
};

/**
 * Creates a member.
 *
 * @param vm - its name
 * @param zone - its zone
 * @returns a serving member
 */
export const createMember = (vm: string, zone: string): membership.Member => ({
    info: {
        vm: ids.toVmId(vm),
        incarnation: ids.toIncarnationId(`${vm}-1`),
        zone: ids.toZoneName(zone),
        address: ids.toAddress("127.0.0.1:8000"),
        control: ids.toAddress("127.0.0.1:8001"),
        state: "serving",
        revision: ids.toRevision(1),
        synced: true,
        epoch: 0,
    },
    seenAtMs: 0,
});

/**
 * Assigns each cell to the first member in its zone.
 *
 * @param configuration - the configuration
 * @param members - the members
 * @returns the owners
 */
export const createOwnership = (
    configuration: config.Configuration,
    members: readonly membership.Member[],
): membership.Ownership => {
    const zoneByTarget = new Map<shared.TargetId, string>();
    for (const section of configuration.services.values()) {
        section.targets.forEach(target => zoneByTarget.set(target.id, target.zone));
    }
    const findOwner = (zone: string | undefined): membership.Member | undefined =>
        members.find(member => member.info.zone === zone);
    return {
        listCellOwners: cell => [findOwner(cell.split("/")[1])].filter(member => member !== undefined),
        findTargetOwner: target => findOwner(zoneByTarget.get(target)),
    };
};

/** A dispatcher together with functions that change its inputs. */
export interface DispatcherFixture {
    readonly dispatcher: types.ProbedDispatcher;
    readonly blackboard: blackboardTypes.Blackboard;
    setConfiguration(configuration: config.Configuration): void;
    setOwnership(ownership: membership.Ownership): void;
    setCellLoads(loads: readonly membership.CellLoad[]): void;
    /** Makes all targets report that they are warm. */
    setWarm(): void;
    /** End of the lease of each target; a change takes effect at once. */
    readonly leaseEndsMs: Map<shared.TargetId, number>;
    readonly requestedLeases: shared.TargetId[];
    readonly releasedLeases: shared.TargetId[];
    announceTaken(target: shared.TargetId): void;
}

export interface FixtureOptions {
    readonly self: membership.Member;
    readonly members: readonly membership.Member[];
    readonly configuration: config.Configuration;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly seed: number;
    readonly spillOver?: boolean;
}

/**
 * Creates a dispatcher with a blackboard, and cold leases that the test sets.
 *
 * @param options - dependencies and initial inputs
 * @returns the dispatcher with functions that change its inputs
 */
export const createDispatcherFixture = (options: FixtureOptions): DispatcherFixture => {
    const { self, members, scheduler, logger } = options;
    const blackboard = blackboards.createBlackboard(self.info);
    const setConfiguration = blackboard.configuration.takeWriter("fixture");
    const setOwnership = blackboard.ownership.takeWriter("fixture");
    const writeLoads = blackboard.cellLoads.takeWriter("fixture");
    setConfiguration(options.configuration);
    setOwnership(createOwnership(options.configuration, members));
    const taken = events.createEmitter<shared.TargetId>();
    const leaseEndsMs = new Map<shared.TargetId, number>();
    const requestedLeases: shared.TargetId[] = [];
    const releasedLeases: shared.TargetId[] = [];
    const dispatcher = dispatchers.createDispatcher({
        blackboard,
        scheduler,
        random: random.createRandom(options.seed),
        logger,
        coldLeases: {
            getLeaseEndMs: target => leaseEndsMs.get(target),
            request: target => void requestedLeases.push(target),
            release: target => void releasedLeases.push(target),
            onDidTake: taken.event,
        },
        spillOver: options.spillOver ?? true,
    });
    return {
        dispatcher,
        blackboard,
        setConfiguration,
        setOwnership,
        setCellLoads: loads => {
            const byCell = new Map<shared.CellId, membership.CellLoad[]>();
            loads.forEach(load => byCell.set(load.cell, [...(byCell.get(load.cell) ?? []), load]));
            writeLoads(byCell);
        },
        setWarm: () => {
            const report = { state: "warm", busy: undefined, boot: ids.toBootId("b1") } as const;
            for (const view of dispatcher.listTargets()) {
                dispatcher.applyReport(view.target.id, report, scheduler.now());
            }
        },
        leaseEndsMs,
        requestedLeases,
        releasedLeases,
        announceTaken: target => taken.fire(target),
    };
};
