/**
 * Client side of the connections between entry VMs: stays connected to the first reachable VM in the order of peers. A
 * hub with an outdated view of the store is dropped only if this VM can reach the store itself; while the store is
 * unavailable to all VMs, the hub still reports which VMs are alive.
 */
import * as net from "node:net";
import * as repeat from "../../common/repeat.js";
import * as formerPeers from "../../common/routes/formerPeers.js";
import * as clientZones from "../../common/routes/clientZones.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import type * as byteMeter from "./byteMeter.js";
import * as hubCandidates from "./hubCandidates.js";
import * as peerChannel from "./peerChannel.js";
import * as peerHub from "./peerHub.js";
import * as peerMessages from "./peerMessages.js";
import * as peerSocket from "./peerSocket.js";
import * as quotaMessages from "./quotaMessages.js";

/** A VM that has not sent its first heartbeat by then is skipped. */
const firstHeartbeatTimeoutMs = 300;
/**
 * A hub whose response from the store is overdue for longer has an outdated view. Together with the longest interval
 * between two responses for the table of targets (750 ms) and a heartbeat interval, this lets another VM read changes
 * within the 2 s that the platform allows.
 */
export const maxOverdueMs = 500;
/**
 * A hub that keeps ledgers of quotas is left later: its followers read the store themselves meanwhile, and a change of the
 * hub leaves organisations without most of their quota for up to two seconds.
 */
const maxLedgerOverdueMs = 2_000;
/** A VM that lost its hub follows the store itself if it finds no other hub within this time. */
const storeFallbackDelayMs = 200;
/** A silent hub is detected within this time after its heartbeat has timed out. */
const checkIntervalMs = 100;
/** Interval at which a VM without a hub looks for one. */
const searchIntervalMs = 1_000;
/** An unreachable VM is skipped for this time, as each attempt to connect takes up to 250 ms. */
const retryDelayMs = 5_000;
/** A machine that refuses a connection is up, and its daemon starts or restarts within about a second. */
const refusedRetryDelayMs = 500;

export interface HubLink extends shared.Disposable {
    start(): void;
    /** Whether a hub is connected. */
    isConnected(): boolean;
    /** Whether a hub with an up-to-date view of the store is connected. */
    hasFreshHub(): boolean;
    /** VMs that the hub is connected to; empty without a hub. */
    listPeers(): readonly routes.Peer[];
    /** The hub's plan of active VMs; undefined without a hub. */
    getPlan(): readonly shared.VmId[] | undefined;
    /** VMs that hubs which were lost a short time ago were connected to. */
    listFormerPeers(): readonly routes.Peer[];
    /** VMs that have been reported to this VM and not reported as left since. */
    listCandidates(): readonly shared.VmId[];
    /** Whether a VM with this address has been reported at any time. */
    hasReached(address: shared.Address): boolean;
    /** Adds a VM that may be a hub. */
    addCandidate(peer: routes.Peer): void;
    /** Reports to the hub a VM that may precede it in the order of peers. */
    sendPeerMet(peer: routes.Peer): void;
    sendHello(): void;
    sendTargetReports(reports: peerChannel.TargetReports): void;
    sendQuotaReport(report: quotaMessages.ReportMessage): void;
}

export interface HubLinkOptions {
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly traffic: byteMeter.ByteMeter | undefined;
    readonly seeds: readonly shared.Address[];
    getOwnPeer(): routes.Peer;
    /** Whether this VM follows the store itself and has an up-to-date view of it. */
    isStoreFresh(): boolean;
    /** Whether this VM has a configuration, so that it can serve while it looks for a hub. */
    hasConfiguration(): boolean;
    /** Whether organisations have quotas, whose ledgers the hub keeps. */
    hasQuotas(): boolean;
    /** Returns the lookups that this VM has answered since the last call. */
    takeLookups(): clientZones.LookupCounts;
    addMessageHandlers(channel: peerChannel.PeerChannel): void;
    /** Called when this VM has joined a hub. */
    handleConnected(): void;
    /** Called when this VM has lost its hub. */
    handleLost(): void;
    /** Called regularly with whether this VM has to follow the store itself. */
    handleStoreNeed(needsStore: boolean): void;
}

/** Why a hub is dropped; "not useful" if its view of the store is outdated or it is no longer a hub. */
type LossReason = "closed" | "silent" | "not useful";

/** A VM that responds is tried again at the next search, which shows whether it has become useful. */
const lossRetryDelaysMs: Readonly<Record<LossReason, number>> = {
    closed: refusedRetryDelayMs,
    silent: retryDelayMs,
    "not useful": 0,
};

interface HubConnection {
    readonly channel: peerChannel.PeerChannel;
    readonly address: shared.Address;
    readonly peers: Map<shared.VmId, routes.Peer>;
    isHub: boolean;
    overdueMs: number;
    heartbeatAtMs: number;
    plan: readonly shared.VmId[];
    /** The own record that was sent last. */
    helloText: string;
}

/**
 * Creates a link that is not started.
 *
 * @param options - who this VM is and what to do with messages
 * @returns the link
 */
export const createHubLink = (options: HubLinkOptions): HubLink => {
    const { scheduler, logger } = options;
    const candidates = hubCandidates.createHubCandidates({ ...options, clock: scheduler });
    const former = formerPeers.createFormerPeers(scheduler);
    let hub: HubConnection | undefined;
    let isDisposed = false;
    let isSearching = false;
    let storeFallbackTimer: shared.Disposable | undefined;
    let timers: shared.Disposable[] = [];

    const isAlive = (connection: HubConnection): boolean =>
        scheduler.now() - connection.heartbeatAtMs < peerHub.heartbeatIntervalMs * peerHub.maxMissedHeartbeats;

    const hasFreshView = (connection: HubConnection): boolean => connection.overdueMs < maxOverdueMs;

    const isUseful = (connection: HubConnection): boolean =>
        connection.isHub &&
        isAlive(connection) &&
        (connection.overdueMs < (options.hasQuotas() ? maxLedgerOverdueMs : maxOverdueMs) || !options.isStoreFresh());

    const handleHeartbeat = (connection: HubConnection, heartbeat: peerChannel.HubHeartbeat): void => {
        connection.isHub = heartbeat.isHub;
        connection.overdueMs = heartbeat.overdueMs;
        connection.heartbeatAtMs = scheduler.now();
        connection.plan = heartbeat.plan ?? connection.plan;
        for (const peer of heartbeat.changed ?? []) {
            connection.peers.set(peer.vm, peer);
            candidates.add(peer);
        }
        for (const vm of heartbeat.left ?? []) {
            connection.peers.delete(vm);
            candidates.remove(vm);
            former.remove(vm);
        }
    };

    /** A hub that has closed the connection or fallen silent is probably gone itself. */
    const keepFormerPeers = (dropped: HubConnection, reason: LossReason): void => {
        const mayLive = (peer: routes.Peer): boolean => peer.peerAddress !== dropped.address || reason === "not useful";
        former.add([...dropped.peers.values()].filter(mayLive));
    };

    /** Sends a hello to a VM and waits for its first heartbeat. */
    const waitForHeartbeat = (socket: net.Socket, address: shared.Address): Promise<HubConnection | undefined> =>
        new Promise(resolve => {
            const channel = peerChannel.createPeerChannel({
                socket,
                clock: scheduler,
                logger,
                onClose: () => {
                    resolve(undefined);
                    if (hub === connection) {
                        dropHub("closed");
                    }
                },
            });
            const connection: HubConnection = {
                channel,
                address,
                peers: new Map(),
                isHub: false,
                overdueMs: Infinity,
                heartbeatAtMs: scheduler.now(),
                plan: [],
                helloText: "",
            };
            const timeout = scheduler.schedule(firstHeartbeatTimeoutMs, () => resolve(undefined));
            channel.on("hub.beat", heartbeat => {
                channel.setFeatures(heartbeat.accepts);
                handleHeartbeat(connection, heartbeat);
                timeout.dispose();
                resolve(connection);
            });
            options.addMessageHandlers(channel);
            const own = options.getOwnPeer();
            connection.helloText = JSON.stringify(own);
            channel.send("peer.hello", { peer: own, accepts: peerMessages.ownFeatures });
        });

    /** A machine is silent, and a search may meet more of them: a VM without a configuration does not wait for its end. */
    const handleSilence = (address: shared.Address): void => {
        candidates.setRetryDelay(address, retryDelayMs);
        if (!options.hasConfiguration() && !isDisposed) {
            options.handleStoreNeed(true);
        }
    };

    const joinAddress = async (address: shared.Address): Promise<boolean> => {
        const result = await peerSocket.openSocket(scheduler, address);
        if (result.kind === "silent") {
            handleSilence(address);
            return false;
        }
        if (result.kind === "refused") {
            candidates.setRetryDelay(address, refusedRetryDelayMs);
            return false;
        }
        options.traffic?.watch(result.socket, "vm", () => candidates.findPeer(address)?.zone);
        const connection = await waitForHeartbeat(result.socket, address);
        const peer = candidates.findPeer(address);
        const isHub =
            connection !== undefined && peer !== undefined && candidates.isPreferred(peer) && isUseful(connection);
        if (!isHub || isDisposed) {
            result.socket.destroy();
            if (connection === undefined) {
                handleSilence(address);
            }
            return false;
        }
        hub = connection;
        logger.info("peer: follows hub", { vm: peer.vm, address, overdueMs: Math.round(connection.overdueMs) });
        options.handleConnected();
        if (!options.hasConfiguration()) {
            // After a restart of all VMs, the first hubs have read nothing from the store yet.
            options.handleStoreNeed(!hasFreshView(connection));
        }
        return true;
    };

    /** A VM that can serve spares the calls to the store if it finds another hub soon. */
    const computeStoreFallbackDelayMs = (): number => (options.hasConfiguration() ? storeFallbackDelayMs : 0);

    const dropHub = (reason: LossReason): void => {
        const dropped = hub;
        hub = undefined;
        if (dropped !== undefined) {
            logger.warn("peer: hub lost", { address: dropped.address, reason });
            candidates.setRetryDelay(dropped.address, lossRetryDelaysMs[reason]);
            keepFormerPeers(dropped, reason);
            dropped.channel.dispose();
            options.handleLost();
            storeFallbackTimer?.dispose();
            storeFallbackTimer = scheduler.schedule(computeStoreFallbackDelayMs(), () => {
                if (hub === undefined && !isDisposed) {
                    options.handleStoreNeed(true);
                }
            });
        }
        void findHub();
    };

    const findHub = async (): Promise<void> => {
        if (isSearching || isDisposed || hub !== undefined) {
            return;
        }
        isSearching = true;
        const tried = new Set<shared.Address>();
        let isFound = false;
        for (
            let address = candidates.findNextAddress(tried);
            address !== undefined && !isFound;
            address = candidates.findNextAddress(tried)
        ) {
            tried.add(address);
            isFound = await joinAddress(address);
        }
        isSearching = false;
        if (!isFound) {
            options.handleStoreNeed(true);
        }
    };

    /** Sends this VM's own record if it has changed, a heartbeat otherwise. */
    const sendHelloOrHeartbeat = (connection: HubConnection): void => {
        const own = options.getOwnPeer();
        const text = JSON.stringify(own);
        if (text === connection.helloText) {
            const lookups = options.takeLookups();
            connection.channel.send("peer.beat", lookups.length > 0 ? { lookups } : {});
            return;
        }
        connection.helloText = text;
        connection.channel.send("peer.hello", { peer: own });
    };

    const announceOwnPeer = (): void => {
        if (hub !== undefined) {
            sendHelloOrHeartbeat(hub);
        }
    };

    const checkHub = (): void => {
        if (hub !== undefined) {
            options.handleStoreNeed(!hasFreshView(hub));
            if (!isUseful(hub)) {
                dropHub(isAlive(hub) ? "not useful" : "silent");
            }
        }
    };

    return {
        start: () => {
            const search = (): void => void findHub();
            timers = [
                repeat.repeatAction(scheduler, peerHub.heartbeatIntervalMs, announceOwnPeer),
                repeat.repeatAction(scheduler, checkIntervalMs, checkHub),
                repeat.repeatAction(scheduler, searchIntervalMs, search),
            ];
            search();
        },
        isConnected: () => hub !== undefined,
        hasFreshHub: () => hub?.isHub === true && isAlive(hub) && hasFreshView(hub),
        listPeers: () => [...(hub?.peers.values() ?? [])],
        getPlan: () => hub?.plan,
        listFormerPeers: former.list,
        listCandidates: candidates.listVms,
        hasReached: candidates.hasReached,
        addCandidate: peer => {
            candidates.add(peer);
            if (candidates.isPreferred(peer)) {
                candidates.resetRetryDelay(peer.peerAddress);
                void findHub();
            }
        },
        sendPeerMet: peer => hub?.channel.send("peer.met", { peer }),
        sendHello: announceOwnPeer,
        sendTargetReports: reports => hub?.channel.send("target.reports", reports),
        sendQuotaReport: report => hub?.channel.send("quota.report", report),
        dispose: () => {
            isDisposed = true;
            timers.forEach(timer => timer.dispose());
            storeFallbackTimer?.dispose();
            hub?.channel.dispose();
        },
    };
};
