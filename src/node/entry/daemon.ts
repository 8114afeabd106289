/**
 * Assembles the entry daemon from its components.
 */
import * as crypto from "node:crypto";
import * as moleculer from "moleculer";
import * as blackboards from "../../common/blackboard/blackboard.js";
import * as blackboardTypes from "../../common/blackboard/Types.js";
import * as configuration from "../../common/config/configuration.js";
import * as crashRegistries from "../../common/crashes/crashRegistry.js";
import * as events from "../../common/events.js";
import * as freshness from "../../common/freshness/freshness.js";
import * as ids from "../../common/ids.js";
import * as randoms from "../../common/random.js";
import * as dispatchers from "../../common/routing/dispatcher.js";
import * as shared from "../../common/Types.js";
import * as claimControllers from "../claims/claimController.js";
import * as coldLeaseControllers from "../coldstart/coldLeases.js";
import * as configurationControllers from "../configuration/configurationController.js";
import * as adminHandlers from "../control/adminHandlers.js";
import * as rpcRoutes from "../control/rpcRoute.js";
import * as senders from "../forward/sender.js";
import * as traceStores from "../front/traceStore.js";
import * as logging from "../logging/Types.js";
import * as gossips from "../peers/gossip.js";
import * as rpcClients from "../peers/rpcClient.js";
import * as rpcServers from "../peers/rpcServer.js";
import * as platformClients from "../platform/platformClient.js";
import * as leavingVmWatchers from "../probes/leavingVmWatcher.js";
import * as probers from "../probes/prober.js";
import * as settingsTypes from "../settings/Types.js";
import * as systemSchedulers from "../systemScheduler.js";
import * as closing from "./closing.js";
import * as callPaths from "./callPath.js";
import * as entryGateways from "./entryGateways.js";
import * as lifecycles from "./lifecycle.js";
import * as probing from "./probing.js";
import * as readinessGates from "./readinessGate.js";
import * as unsafeSwitches from "./unsafeSwitches.js";

export interface EntryDaemon {
    start(): Promise<void>;
    /** Shuts down gracefully. */
    stop(): Promise<void>;
}

const maxTracedCalls = 10_000;
const incarnationIdBytes = 12;
const crashLimit = 2;
const maxCrashEntries = 1_000;
const crashRetentionMs = 600_000;
/** The response to the call waits for these reports, so an unresponsive peer must not delay it for long. */
const crashReportTimeoutMs = 500;

const createIncarnationId = (): shared.IncarnationId =>
    ids.toIncarnationId(crypto.randomBytes(incarnationIdBytes).toString("base64url"));

const createToken = (): string => crypto.randomUUID();

const createSelf = (settings: settingsTypes.EntrySettings): blackboardTypes.LocalVm => ({
    vm: settings.vm,
    incarnation: createIncarnationId(),
    zone: settings.zone,
    address: settings.listen,
    control: settings.advertiseControl,
});

/**
 * Creates an entry daemon.
 *
 * @param settings - validated settings
 * @param logSink - sink for its log lines
 * @param unsafe - safety mechanisms that a test disables
 * @returns the daemon, not yet started
 */
export const createEntryDaemon = (
    settings: settingsTypes.EntrySettings,
    logSink: logging.LogSink,
    unsafe: unsafeSwitches.UnsafeSwitches = unsafeSwitches.noSwitches,
): EntryDaemon => {
    const board = blackboards.createBlackboard(createSelf(settings));
    const { incarnation } = board.self;
    const scheduler = systemSchedulers.createSystemScheduler({ keepAlive: false });
    const random = randoms.createRandom(crypto.randomInt(2 ** 31));
    const disposables = events.createDisposableStore();
    const platform = platformClients.createPlatformClient(settings.platform);
    const rpcClient = rpcClients.createRpcClient();
    const rpcServer = rpcServers.createRpcServer(logSink.logger);
    const sender = senders.createSender({
        checksEcho: !unsafe.has("no-echo-check"),
        reusesIdle: unsafe.has("reuse-idle"),
    });
    const traces = traceStores.createTraceStore(scheduler, maxTracedCalls);
    const crashes = crashRegistries.createCrashRegistry({
        scheduler,
        limit: crashLimit,
        maxEntries: maxCrashEntries,
        retentionMs: crashRetentionMs,
    });

    const isFresh = (): boolean =>
        (unsafe.has("no-freshness") && board.configuration.get() !== undefined) ||
        freshness.computeVerdict(board.freshness.get(), scheduler.now(), settings.freshnessMs).kind === "fresh";

    const configurationController = disposables.add(
        configurationControllers.createConfigurationController({
            blackboard: board,
            table: platform.table,
            objects: platform.objects,
            rpcClient,
            rpcServer,
            scheduler,
            settings,
            assembleConfiguration: configuration.assembleConfiguration,
            logger: logSink.logger,
        }),
    );
    const claims = disposables.add(
        claimControllers.createClaimController({
            incarnation,
            scheduler,
            table: platform.table,
            createToken,
            limits: settings,
            logger: logSink.logger,
        }),
    );
    const coldLeases = disposables.add(
        coldLeaseControllers.createColdLeases({
            incarnation,
            table: platform.table,
            scheduler,
            createToken,
            leaseMs: settings.coldLeaseMs,
            logger: logSink.logger,
        }),
    );
    const dispatcher = disposables.add(
        dispatchers.createDispatcher({
            blackboard: board,
            scheduler,
            random,
            coldLeases,
            logger: logSink.logger,
        }),
    );
    const gossip = disposables.add(
        gossips.createGossip({
            blackboard: board,
            rpcClient,
            rpcServer,
            vmList: platform.vms,
            scheduler,
            random,
            settings,
            configuration: configurationController,
            listCellLoads: dispatcher.listCellLoads,
            listCrashes: crashes.list,
            applyCrash: crashes.mergeCount,
            getKeyEpoch: claims.getEpoch,
            logger: logSink.logger,
        }),
    );
    disposables.add(
        probers.createProber({
            blackboard: board,
            dispatcher,
            scheduler,
            random,
            mayProbe: gossip.hasMajority,
            sendProbe: probing.createProbeSender(sender, scheduler),
            logger: logSink.logger,
        }),
    );

    rpcServer.addHandlers({
        "crash.report": ({ fingerprint, count }) => {
            crashes.mergeCount(fingerprint, count);
            return Promise.resolve({ ok: true });
        },
    });
    disposables.add(
        leavingVmWatchers.createLeavingVmWatcher({
            vmList: platform.vms,
            scheduler,
            logger: logSink.logger,
            setLeavingVms: dispatcher.setLeavingVms,
        }),
    );
    disposables.add(sender.onDidDisconnect(dispatcher.applyDisconnect));

    const publishCrash = async (fingerprint: string, count: number): Promise<void> => {
        const otherMembers = [...board.members.get().values()].filter(member => member.info.vm !== board.self.vm);
        await Promise.all(
            otherMembers.map(member =>
                rpcClient.call(member.info.control, "crash.report", { fingerprint, count }, crashReportTimeoutMs),
            ),
        );
    };
    const callHandler = callPaths.createCallPath({
        board,
        scheduler,
        dispatcher,
        sender,
        claims,
        crashes,
        traces,
        logger: logSink.logger,
        isFresh,
        publishCrash,
        unsafe,
    });
    rpcServer.addHandlers(adminHandlers.createAdminHandlers({ board, clock: scheduler, dispatcher, traces }));

    const callerGateway = entryGateways.createCallerGateway(settings, board, callHandler, isFresh, logSink);
    const controlGateway = entryGateways.createControlGateway(
        settings,
        rpcRoutes.createRpcRoute(rpcServer),
        callHandler,
        logSink,
    );
    const broker = new moleculer.ServiceBroker({
        logger: false,
        transporter: null,
        metrics: false,
        tracing: false,
        // The broker's own SIGTERM handler closes the ports at once and exits with calls in flight.
        skipProcessEventRegistration: true,
    });
    broker.createService(callerGateway.schema);
    broker.createService(controlGateway.schema);

    const lifecycle = lifecycles.createLifecycleController({
        board,
        scheduler,
        logger: logSink.logger,
        lookupTtlMs: settings.lookupTtlMs,
        drainTimeoutMs: unsafe.has("no-drain") ? 0 : settings.drainTimeoutMs,
        announcesLeaving: !unsafe.has("no-leave-notice"),
        countInFlightCalls: callHandler.countCalls,
        closeCallerPort: callerGateway.closeListener,
    });

    return {
        start: async () => {
            await Promise.race([broker.start(), callerGateway.failure, controlGateway.failure]);
            disposables.add(
                readinessGates.createReadinessGate({
                    board,
                    vmList: platform.vms,
                    scheduler,
                    memberTimeoutMs: settings.memberTimeoutMs,
                    onReady: lifecycle.setServing,
                }),
            );
        },
        stop: async () => {
            await lifecycle.stop();
            disposables.dispose();
            const components: closing.ClosableComponent[] = [
                { name: "connections to targets and peers", close: sender.close },
                { name: "calls to peers", close: rpcClient.close },
                { name: "platform", close: platform.close },
                { name: "control port", close: controlGateway.closeConnections },
                { name: "callers' port", close: callerGateway.closeConnections },
                { name: "broker", close: () => broker.stop() },
            ];
            await closing.closeComponents(components, scheduler, logSink.logger);
        },
    };
};
