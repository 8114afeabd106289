/**
 * The entry daemon for requests that are routed by host and path: wires up its components and runs them until stopped.
 */
import * as crypto from "node:crypto";
import * as ids from "../../common/ids.js";
import * as retryBudget from "../../common/limits/retryBudget.js";
import * as random from "../../common/random.js";
import * as activeVmPlan from "../../common/routes/activeVmPlan.js";
import * as activeVmSelection from "../../common/routes/activeVmSelection.js";
import * as clientZones from "../../common/routes/clientZones.js";
import * as demandMeter from "../../common/routes/demandMeter.js";
import * as rate from "../../common/routes/rate.js";
import * as routeTable from "../../common/routes/routeTable.js";
import * as sharedState from "../../common/routes/sharedState.js";
import * as targetLimits from "../../common/routes/targetLimits.js";
import * as targetNotices from "../../common/routes/targetNotices.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as targetSet from "../../common/routes/targetSet.js";
import * as routes from "../../common/routes/Types.js";
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as shared from "../../common/Types.js";
import * as byteMeter from "./byteMeter.js";
import * as clientDrain from "./clientDrain.js";
import * as drainControl from "./drainControl.js";
import * as drainingHeads from "./drainingHeads.js";
import * as configurationLog from "./configurationLog.js";
import * as clientFrontend from "./clientFrontend.js";
import * as connectivity from "./connectivity.js";
import * as crashMonitor from "./crashMonitor.js";
import * as connectionPool from "./connectionPool.js";
import * as vmRole from "./vmRole.js";
import * as lookupServer from "./lookupServer.js";
import * as membership from "./membership.js";
import * as metrics from "./metrics.js";
import * as metricsServer from "./metricsServer.js";
import * as requestHandler from "./requestHandler.js";
import * as retryPolicy from "./retryPolicy.js";
import * as startupWait from "./startupWait.js";
import * as targetProber from "./targetProber.js";
import * as targetSender from "./targetSender.js";
import * as types from "./Types.js";
import * as unexpectedErrors from "./unexpectedErrors.js";
import * as unexpectedResponses from "./unexpectedResponses.js";

export interface RouteDaemon {
    start(): Promise<void>;
    /** Applies the bounds of changed settings; addresses and names take effect only after a restart. */
    reload(changed: types.RouteSettings): void;
    /** Drains client connections without aborting requests; resolves when the process may exit. */
    stop(): Promise<void>;
    /** Records an error that no other handler expects, so that the process goes on. */
    recordError(error: unknown): void;
}

export interface RouteDaemonOptions {
    readonly settings: types.RouteSettings;
    readonly http: types.HttpDialect;
    readonly lookup: types.LookupDialect;
    readonly store: types.StateStore;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly traffic: byteMeter.ByteMeter;
    countDroppedLogLines(): number;
    /** Returns the longest delay of the event loop since the last call. */
    takeMaxLoopDelayMs(): number;
}

/**
 * Creates the daemon.
 *
 * @param options - settings, HTTP and lookup dialects, and the store
 * @returns the daemon, not started
 */
export const createRouteDaemon = (options: RouteDaemonOptions): RouteDaemon => {
    const { settings, scheduler, logger, store, traffic } = options;
    let { bounds } = settings;
    const incarnation = ids.toIncarnationId(crypto.randomUUID());
    const state = sharedState.createSharedState({ scheduler, logger });
    const services = new Map<shared.ServiceName, routes.RoutedService>();
    let table: routeTable.RouteTable | undefined;
    let isLeaving = false;
    const createdAtMs = scheduler.now();

    const { getConfiguration } = state;
    const bodies = clientFrontend.createVmBudget({ settings, clock: scheduler, getConfiguration });
    const requestRate = rate.createRateMeter(scheduler);
    const demand = demandMeter.createDemandMeter(scheduler);
    const lookups = clientZones.createLookupCounter();

    const isReady = (): boolean => table !== undefined && !isLeaving;

    const members = membership.createMembership({
        settings,
        incarnation,
        store,
        state,
        scheduler,
        logger,
        traffic,
        getBounds: () => bounds,
        isReady,
        isCutOff: () => !reach.isConfirmed(),
        computeRequestRate: requestRate.compute,
        ...{ listDemand: demand.list, countServiceTargets: () => serviceTargets, takeLookups: lookups.take },
        handleTargetReports: reports => ({
            limits: limits.applyReports(reports.limits),
            leaving: notices.applyLeaving(reports.leaving),
            crashes: crashes.applyReports(reports.crashes ?? []),
        }),
        listTargetReports: () => ({
            limits: limits.listReports(),
            leaving: notices.listLeaving(),
            crashes: crashes.listReports(),
        }),
    });
    let serviceTargets: activeVmPlan.TargetsByService = new Map();
    let zoneSlots: activeVmSelection.SlotsByZone = new Map();
    const role = vmRole.createVmRole({
        logger,
        vm: settings.vm,
        clock: scheduler,
        isConnected: members.isConnected,
        listPeers: members.listPeers,
        countKnownPeers: members.countKnownPeers,
        getPlan: members.getPlan,
        getZoneSlots: () => zoneSlots,
        computeRequestRate: requestRate.compute,
    });

    const limits = targetLimits.createTargetLimits({
        clock: scheduler,
        logger,
        vm: settings.vm,
        getRateView: role.getRateView,
        handleMalformed: () => routeMetrics.recordMalformedHeader("limit"),
    });
    const set = targetSet.createTargetSet(scheduler);
    const notices = targetNotices.createTargetNotices({
        set,
        clock: scheduler,
        logger,
        handleMalformedPause: () => routeMetrics.recordMalformedHeader("pause"),
    });
    const targets = targetPool.createTargetPool({
        scheduler,
        set,
        limits,
        random: random.createRandom(crypto.randomInt(2 ** 31)),
        logger,
        vm: settings.vm,
        zone: settings.zone,
        isZoneOut: zone => state.isZoneOut(zone),
        getService: name => services.get(name),
        getRateView: role.getRateView,
    });
    const queueRandom = random.createRandom(crypto.randomInt(2 ** 31));
    const queue = admissionQueue.createAdmissionQueue<targetPool.PickResult>(scheduler, queueRandom);
    const budget = retryBudget.createRetryBudget({
        scheduler,
        getPolicy: () => retryPolicy.computeRetryPolicy(bounds, role.computeExtraRetryShare()),
    });
    const connections = connectionPool.createConnectionPool({
        scheduler,
        dialect: options.http,
        recordUnexpected: unexpectedResponses.createUnexpectedRecorder(logger, () => routeMetrics),
        watchSocket: byteMeter.createAddressWatcher(traffic, { ...state, listPeers: members.listPeers }),
    });
    const sender = targetSender.createTargetSender({
        pool: connections,
        dialect: options.http,
        scheduler,
        handleHead: (registration, { notice }, sentAtMs) => {
            reach.recordResponse();
            limits.recordResponse(registration, notice.limit, sentAtMs);
            notices.recordResponse(registration, notice);
        },
    });
    const { reach, relay, onDidLoseTargets, hasEnded } = connectivity.createConnectivity({
        settings,
        scheduler,
        logger,
        set,
        limits,
        services,
        metrics: { recordRelay: outcome => routeMetrics.recordRelay(outcome) },
        sender,
        seed: crypto.randomInt(2 ** 31),
        isActive: role.isActive,
        listActiveVms: role.listActiveVms,
        listPeers: members.listPeers,
    });
    const routeMetrics = metrics.createRouteMetrics({
        getConfigurationVersion: () => table?.version,
        computeStoreAgeMs: members.computeStoreAgeMs,
        countTargets: () => [...state.listTargets()].length,
        countPeers: () => members.listPeers().length,
        countActiveVms: () => role.listActiveVms().length,
        countClientConnections: () => frontend?.countConnections() ?? 0,
        countBodyBytes: bodies.countReservedBytes,
        countWaitingBodies: bodies.countWaiting,
        countTargetConnectionsOpened: connections.countOpened,
        countLimitedTargets: limits.count,
        countBlockedRequests: () => crashes.countBlocked(),
        countLeavingTargets: notices.countLeaving,
        isCutOff: reach.isCutOff,
        countDroppedLogLines: options.countDroppedLogLines,
        takeMaxLoopDelayMs: options.takeMaxLoopDelayMs,
        countIgnoredChanges: state.countIgnoredChanges,
        countMalformedRows: store.countMalformedRows,
        listTraffic: traffic.list,
        getQuotaCounts: members.quotas.getCounts,
    });
    const recordError = unexpectedErrors.createErrorRecorder({ logger, countError: routeMetrics.recordError });
    const crashes = crashMonitor.createCrashMonitor({
        clock: scheduler,
        logger,
        connectivity: { reach, hasEnded },
        metrics: routeMetrics,
    });
    const prober = targetProber.createTargetProber({
        scheduler,
        targets,
        sender,
        services,
        metrics: routeMetrics,
        mayProbe: role.mayProbe,
    });

    const drain = drainControl.createDrainControl({ clock: scheduler, logger, metrics: routeMetrics });
    const startup = startupWait.createStartupWait({ scheduler, logger });
    const handler = requestHandler.createRequestHandler({
        dialect: options.http,
        exchange: {
            scheduler,
            targets: { ...targets, pick: demandMeter.watchPicks(targets.pick, demand) },
            queue,
            sender,
            budget,
            crashes,
            drain,
            logger,
            metrics: routeMetrics,
            onDidLoseTargets,
            recordError: error => recordError("exchange", error),
            recordLoss: (fingerprint, registration) => void crashes.recordLoss(fingerprint, registration),
        },
        relay,
        isCutOff: reach.isCutOff,
        isInTouch: members.isInTouch,
        quotas: members.quotas,
        getTable: () => table,
        waitForStart: startup.wait,
        recordRequest: (end, latencyMs) => {
            // The VM that a request is passed on to counts it.
            if (end !== "relayed") {
                requestRate.record();
            }
            routeMetrics.recordRequest(end, latencyMs);
        },
        recordNotRun: source => routeMetrics.recordNotRun(source),
        recordKeyFault: fault => routeMetrics.recordKeyFault(fault),
    });

    const frontend = clientFrontend.createVmFrontend({
        settings,
        scheduler,
        logger,
        metrics: routeMetrics,
        budget: bodies,
        handler,
        heads: drainingHeads.createDrainingHeads({ dialect: options.http, drain, getTable: () => table }),
        getConfiguration,
        recordError: error => recordError("frontend", error),
        watchSocket: socket => traffic.watch(socket, "client", () => undefined),
    });

    const handleConfiguration = (configuration: routes.RouteConfiguration): void => {
        configurationLog.logConfiguration({ logger, metrics: routeMetrics }, configuration);
        table = routeTable.createRouteTable(configuration);
        services.clear();
        configuration.services.forEach(service => services.set(service.name, service));
        queue.setOrganisations(configuration.organisations ?? []);
        startup.recordConfiguration();
        members.quotas.setConfiguration(configuration.organisations ?? []);
    };

    const handleTargets = (): void => {
        zoneSlots = activeVmSelection.countZoneSlots(state.listTargets(), state.isZoneOut);
        serviceTargets = activeVmPlan.countTargets(state.listTargets(), state.isZoneOut);
        targets.setTargets(state.listTargets());
        if (zoneSlots.size > 0) {
            startup.recordTargets();
        }
    };

    const getLookupLifetimeMs = (): number =>
        lookupServer.computeLifetimeMs(scheduler.now() - createdAtMs, bounds.longestLookupMs);

    const listenForLookups = (): Promise<void> =>
        lookupServer.listenOnAddresses([settings.lookupAddress, settings.readinessAddress], {
            dialect: options.lookup,
            getLifetimeMs: getLookupLifetimeMs,
            isReady,
            pickActiveAddresses: lookup => {
                lookups.record(lookup.zone);
                return activeVmSelection
                    .pickActiveVms(role.listActiveVms(), lookup.zone)
                    .map(peer => peer.frontAddress);
            },
            recordError: error => recordError("lookup", error),
            watchSocket: socket => traffic.watch(socket, "lookup", () => undefined),
        });

    return {
        start: async () => {
            state.onDidChangeConfiguration(handleConfiguration);
            state.onDidChangeTargets(handleTargets);
            limits.onDidChange(members.sendLimit);
            notices.onDidLeave(members.sendLeaving);
            crashes.onDidChange(members.sendCrash);
            reach.onDidChange(members.sendHello);
            targets.onDidFreeSlot(service => queue.dispatch(service));
            await listenForLookups();
            await frontend?.listen();
            await members.start();
            prober.start();
            reach.start();
            if (settings.metricsAddress !== undefined) {
                metricsServer.listenForMetrics({ address: settings.metricsAddress, metrics: routeMetrics, logger });
            }
            logger.info("life: started", { vm: settings.vm, incarnation, zone: settings.zone });
        },
        reload: changed => {
            bounds = changed.bounds;
            logger.info("life: settings reloaded", { ...bounds });
        },
        recordError: error => recordError("process", error),
        stop: async () => {
            isLeaving = true;
            logger.info("life: leaving", { connections: frontend?.countConnections() });
            members.sendHello();
            await clientDrain.drainClients({ frontend, drain, scheduler, ...bounds });
            logger.info("life: stopped", { connections: frontend?.countConnections() });
        },
    };
};
