/**
 * VMs in one process that share an in-memory store, for tests of membership.
 */
import * as events from "../../common/events.js";
import * as ids from "../../common/ids.js";
import * as requestCrashes from "../../common/crashes/requestCrashes.js";
import * as activeVmPlan from "../../common/routes/activeVmPlan.js";
import * as clientZones from "../../common/routes/clientZones.js";
import * as quota from "../../common/routes/quota.js";
import * as sharedState from "../../common/routes/sharedState.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as fixture from "./fixture.js";
import * as silentLogger from "../silentLogger.js";
import * as ports from "../system/ports.js";
import * as systemScheduler from "../../node/systemScheduler.js";
import * as membership from "../../node/routes/membership.js";
import * as types from "../../node/routes/Types.js";

const bounds: types.RouteBounds = {
    graceMs: 1_000,
    heartbeatMs: 1_500,
    contactMs: 3_000,
    longestLookupMs: 1_000,
    retryShare: 0,
    retryWindowMs: 1_000,
    retryExtra: 0,
    ...quota.defaultBounds,
};

export const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });

/** Creates an in-memory store that can be made unreachable for some VMs. */
export const createStore = () => {
    let version = 1;
    let configuration = fixture.createConfiguration(1);
    const unreachable = new Set<shared.VmId>();
    const calls = new Map<shared.VmId, number>();
    const registered: routes.Peer[] = [];
    const restoreEmitter = events.createEmitter<void>();
    let isRestoring = false;
    let lookups = 0;

    const connect = (vm: shared.VmId): types.StateStore => {
        const recordCall = (): void => {
            calls.set(vm, (calls.get(vm) ?? 0) + 1);
            if (unreachable.has(vm)) {
                throw new Error("unreachable");
            }
        };
        const listChanges = (table: routes.StateTable): routes.StateChange[] =>
            table === "operators"
                ? [{ kind: "configuration", version: fixture.createVersion(version), configuration }]
                : [];
        return {
            fetchSnapshot: table => {
                recordCall();
                return Promise.resolve({ table, version: fixture.createVersion(version), changes: listChanges(table) });
            },
            fetchChanges: async (table, after, waitMs) => {
                const hasNewVersion = (): boolean => table === "operators" && version > after.sequence;
                for (let waitedMs = 0; waitedMs < waitMs && !hasNewVersion(); waitedMs += 20) {
                    await new Promise(resolve => setTimeout(resolve, 20));
                }
                recordCall();
                return {
                    kind: "changes",
                    version: fixture.createVersion(version),
                    changes: hasNewVersion() ? listChanges(table) : [],
                };
            },
            registerPeer: peer => {
                recordCall();
                if (isRestoring) {
                    isRestoring = false;
                    restore();
                }
                registered.push(peer);
                return Promise.resolve();
            },
            fetchPeers: () => {
                recordCall();
                lookups++;
                return Promise.resolve(registered);
            },
            countMalformedRows: () => 0,
            onDidRestore: restoreEmitter.event,
            dispose: () => undefined,
        };
    };

    const setConfiguration = (next: number): void => {
        version++;
        configuration = fixture.createConfiguration(next);
    };

    const setRoutes = (next: readonly routes.Route[]): void => {
        version++;
        configuration = { ...configuration, routes: next };
    };

    /** Loses the registrations of VMs, as a copy from before does not have them. */
    const restore = (): void => {
        registered.splice(0);
        restoreEmitter.fire();
    };

    const restoreAtNextRegistration = (): void => void (isRestoring = true);

    return {
        ...{ connect, setConfiguration, setRoutes, restore, restoreAtNextRegistration, unreachable, calls, registered },
        countLookups: () => lookups,
    };
};

export const startVm = async (
    name: string,
    options: {
        readonly store: ReturnType<typeof createStore>;
        readonly port: number;
        readonly seeds: readonly number[];
        readonly cores?: number;
        readonly isCutOff?: boolean;
        /** Lookups by zone that the VM reports with each heartbeat. */
        readonly lookups?: clientZones.LookupCounts;
        readonly zone?: shared.ZoneName;
        readonly demand?: readonly routes.ServiceDemand[];
        /** Targets in use, as this VM knows them. */
        readonly countServiceTargets?: () => activeVmPlan.TargetsByService;
        /** False for a VM whose start time is now, but which does not listen yet. */
        readonly isStarted?: boolean;
    },
) => {
    const vm = ids.toVmId(name);
    const toAddress = (port: number): shared.Address => ids.toAddress(`127.0.0.1:${port}`);
    const state = sharedState.createSharedState({ scheduler, logger: silentLogger.createSilentLogger() });
    const limits = fixture.createTargetLimits(scheduler);
    const leaving = new Set<shared.TargetId>();
    const crashes = requestCrashes.createRequestCrashes({
        clock: scheduler,
        limit: 3,
        maxEntries: 10,
        retentionMs: 60_000,
    });
    const member = membership.createMembership({
        settings: {
            vm,
            zone: options.zone ?? fixture.zone,
            region: ids.toRegionName("west"),
            cores: options.cores ?? 1,
            memoryBytes: 512 * 1024 * 1024,
            maxDescriptors: 4_096,
            frontAddress: toAddress(1),
            readinessAddress: undefined,
            metricsAddress: undefined,
            lookupAddress: undefined,
            peerAddress: toAddress(options.port),
            seeds: options.seeds.map(toAddress),
            store: toAddress(1),
            bounds,
        },
        getBounds: () => bounds,
        incarnation: ids.toIncarnationId(name),
        store: options.store.connect(vm),
        state,
        scheduler,
        logger: silentLogger.createSilentLogger(),
        isReady: () => true,
        isCutOff: () => options.isCutOff ?? false,
        computeRequestRate: () => 0,
        listDemand: () => options.demand ?? [],
        countServiceTargets: options.countServiceTargets ?? (() => new Map()),
        takeLookups: () => options.lookups ?? [],
        handleTargetReports: reports => ({
            limits: limits.applyReports(reports.limits),
            leaving: reports.leaving.filter(({ target }) => !leaving.has(target) && leaving.add(target)),
            crashes: crashes.applyReports(reports.crashes ?? []),
        }),
        listTargetReports: () => ({
            limits: limits.listReports(),
            leaving: [...leaving].map(target => ({ target, startedAtMs: 1 })),
            crashes: crashes.listReports(),
        }),
    });
    if (options.isStarted !== false) {
        await member.start();
    }
    limits.onDidChange(member.sendLimit);
    crashes.onDidChange(member.sendCrash);
    return {
        vm,
        port: options.port,
        member,
        state,
        limits,
        leaving,
        crashes,
        getVersion: () => state.getConfiguration()?.version,
    };
};

export const waitUntil = async (isTrue: () => boolean, timeoutMs = 10_000): Promise<boolean> => {
    for (const untilMs = Date.now() + timeoutMs; Date.now() < untilMs && !isTrue();) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    return isTrue();
};

export const acquirePorts = (count: number): Promise<number[]> =>
    Promise.all(Array.from({ length: count }, () => ports.acquirePort()));

export const startVms = async (count: number) => {
    const store = createStore();
    const freePorts = await acquirePorts(count);
    const vms = [];
    for (const [index, port] of freePorts.entries()) {
        vms.push(await startVm(`vm-${index}`, { store, port, seeds: freePorts.slice(0, 2) }));
        // The order of peers depends on their start times in milliseconds, which must differ.
        await new Promise(resolve => setTimeout(resolve, 2));
    }
    return { store, vms };
};
