/**
 * Composition of the entry daemon.
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
import * as leavingVms from "../probes/leavingVms.js";
import * as probers from "../probes/prober.js";
import * as settingsTypes from "../settings/Types.js";
import * as systemSchedulers from "../systemScheduler.js";
import * as closing from "./closing.js";
import * as callPaths from "./callPath.js";
import * as entryGateways from "./entryGateways.js";
import * as lifecycles from "./lifecycle.js";
import * as probing from "./probing.js";
import * as startGates from "./startGate.js";
import * as unsafeSwitches from "./unsafeSwitches.js";

export interface EntryDaemon {
    start(): Promise<void>;
    /** Leaves gracefully and ends all work. */
    stop(): Promise<void>;
}

const maxTracedCalls = 10_000;
const incarnationBytes = 12;
const crashLimit = 2;
const maxCrashEntries = 1_000;
const crashRetentionMs = 600_000;
/** The answer to the call waits for the reports, so a peer that is silent must not delay it for long. */
const crashReportTimeoutMs = 500;

const createIncarnation = (): shared.IncarnationId =>
    ids.toIncarnationId(crypto.randomBytes(incarnationBytes).toString("base64url"));

const createToken = (): string => crypto.randomUUID();

const createSelf = (settings: settingsTypes.EntrySettings): blackboardTypes.Self => ({
    vm: settings.vm,
    incarnation: createIncarnation(),
    zone: settings.zone,
    address: settings.listen,
    control: settings.advertiseControl,
});

/**
 * Creates an entry daemon.
 *
 * @param settings - checked settings
 * @param logs - where its log lines go
 * @param unsafe - safety mechanisms that a test turns off
 * @returns the daemon, not yet started
 */
export const createEntryDaemon = (
    settings: settingsTypes.EntrySettings,
    logs: logging.LogSink,
    unsafe: unsafeSwitches.UnsafeSwitches = unsafeSwitches.noSwitches,
): EntryDaemon => {
    const board = blackboards.createBlackboard(createSelf(settings));
    const { incarnation } = board.self;
    const scheduler = systemSchedulers.createSystemScheduler({ keepAlive: false });
    const random = randoms.createRandom(crypto.randomInt(2 ** 31));
    const lifetimes = events.createDisposableStore();
    const platform = platformClients.createPlatformClient(settings.platform);
    const rpcClient = rpcClients.createRpcClient();
    const rpcServer = rpcServers.createRpcServer(logs.logger);
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

    const configurationController = lifetimes.add(
        configurationControllers.createConfigurationController({
            blackboard: board,
            table: platform.table,
            objects: platform.objects,
            rpcClient,
            rpcServer,
            scheduler,
            settings,
            assembleConfiguration: configuration.assembleConfiguration,
            logger: logs.logger,
        }),
    );
    const claims = lifetimes.add(
        claimControllers.createClaimController({
            incarnation,
            scheduler,
            table: platform.table,
            createToken,
            limits: settings,
            logger: logs.logger,
        }),
    );
    const coldLeases = lifetimes.add(
        coldLeaseControllers.createColdLeases({
            incarnation,
            table: platform.table,
            scheduler,
            createToken,
            leaseMs: settings.coldLeaseMs,
            logger: logs.logger,
        }),
    );
    const dispatcher = lifetimes.add(
        dispatchers.createDispatcher({
            blackboard: board,
            scheduler,
            random,
            coldLeases,
            logger: logs.logger,
        }),
    );
    const gossip = lifetimes.add(
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
            logger: logs.logger,
        }),
    );
    lifetimes.add(
        probers.createProber({
            blackboard: board,
            dispatcher,
            scheduler,
            random,
            mayProbe: gossip.hasMajority,
            sendProbe: probing.createProbeSender(sender, scheduler),
            logger: logs.logger,
        }),
    );

    rpcServer.addHandlers({
        "crash.report": ({ fingerprint, count }) => {
            crashes.mergeCount(fingerprint, count);
            return Promise.resolve({ ok: true });
        },
    });
    lifetimes.add(
        leavingVms.createLeavingVms({
            vmList: platform.vms,
            scheduler,
            logger: logs.logger,
            setLeavingVms: dispatcher.setLeavingVms,
        }),
    );
    lifetimes.add(sender.onDidDisconnect(dispatcher.applyDisconnect));

    const publishCrash = async (fingerprint: string, count: number): Promise<void> => {
        const others = [...board.members.get().values()].filter(member => member.info.vm !== board.self.vm);
        await Promise.all(
            others.map(member =>
                rpcClient.call(member.info.control, "crash.report", { fingerprint, count }, crashReportTimeoutMs),
            ),
        );
    };
    const calls = callPaths.createCallPath({
        board,
        scheduler,
        dispatcher,
        sender,
        claims,
        crashes,
        traces,
        logger: logs.logger,
        isFresh,
        publishCrash,
        unsafe,
    });
    rpcServer.addHandlers(adminHandlers.createAdminHandlers({ board, clock: scheduler, dispatcher, traces }));

    const front = entryGateways.createFrontGateway(settings, board, calls, isFresh, logs);
    const control = entryGateways.createControlGateway(settings, rpcRoutes.createRpcRoute(rpcServer), calls, logs);
    const broker = new moleculer.ServiceBroker({
        logger: false,
        transporter: null,
        metrics: false,
        tracing: false,
        // The broker's own handler of SIGTERM closes the ports at once and exits with calls in flight.
        skipProcessEventRegistration: true,
    });
    broker.createService(front.schema);
    broker.createService(control.schema);

    const lifecycle = lifecycles.createLifecycleController({
        board,
        scheduler,
        logger: logs.logger,
        lookupTtlMs: settings.lookupTtlMs,
        drainTimeoutMs: unsafe.has("no-drain") ? 0 : settings.drainTimeoutMs,
        announcesLeaving: !unsafe.has("no-leave-notice"),
        countCalls: calls.countCalls,
        closeFront: front.closeListener,
    });

    return {
        start: async () => {
            await Promise.race([broker.start(), front.failure, control.failure]);
            lifetimes.add(
                startGates.createStartGate({
                    board,
                    vmList: platform.vms,
                    scheduler,
                    memberTimeoutMs: settings.memberTimeoutMs,
                    onReady: lifecycle.setServing,
                }),
            );
        },
        stop: async () => {
            await lifecycle.leave();
            lifetimes.dispose();
            const parts: closing.ClosingStep[] = [
                { name: "connections to targets and peers", close: sender.close },
                { name: "calls to peers", close: rpcClient.close },
                { name: "platform", close: platform.close },
                { name: "control port", close: control.closeConnections },
                { name: "callers' port", close: front.closeConnections },
                { name: "broker", close: () => broker.stop() },
            ];
            await closing.closeParts(parts, scheduler, logs.logger);
        },
    };
};
