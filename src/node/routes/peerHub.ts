/**
 * Server side of the connections between entry VMs: forwards what this VM reads from the store to its followers, and
 * sends them the list of peers.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as repeat from "../../common/repeat.js";
import * as peerOrder from "../../common/routes/peerOrder.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as peerChannel from "./peerChannel.js";
import * as quotaMessages from "./quotaMessages.js";

/** A VM that lost power is detected after `maxMissedHeartbeats` of these intervals. */
export const heartbeatIntervalMs = 400;
export const maxMissedHeartbeats = 3;

export interface PeerHub extends shared.Disposable {
    listen(): Promise<void>;
    /** VMs that are connected and have sent a message recently, and this VM. */
    listPeers(): readonly routes.Peer[];
    /** Disconnects the followers, as this VM is no longer a hub, after sending them the peers that it knows. */
    closeFollowers(): void;
    pushUpdate(update: routes.StateUpdate): void;
    pushTargetReports(reports: peerChannel.TargetReports): void;
}

export interface PeerHubOptions {
    readonly address: shared.Address;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    getOwnPeer(): routes.Peer;
    /** How long the store's response to this VM is overdue; infinite if this VM does not follow the store. */
    computeOverdueMs(): number;
    /** Called when a VM has joined or has been reported by a follower. */
    handlePeer(peer: routes.Peer): void;
    /** All VMs that this VM knows to be alive, including those reported by its own hub. */
    listKnownPeers(): readonly routes.Peer[];
    /** Whether this VM is a hub, that is, follows no other one. */
    isHub(): boolean;
    listSnapshots(): readonly routes.StateSnapshot[];
    listTargetReports(): peerChannel.TargetReports;
    /** Applies reports of a follower; returns those that were new. */
    handleTargetReports(reports: peerChannel.TargetReports): peerChannel.TargetReports;
    /** Handles the charges of a follower; `id` names its connection. */
    handleQuotaReport(
        id: string,
        report: quotaMessages.ReportMessage,
        send: (acknowledgement: quotaMessages.AcknowledgementMessage) => void,
    ): void;
    /** Called when the connection of a follower has closed. */
    handleFollowerLeft(id: string): void;
}

/** Sent in place of infinity, which JSON cannot express. */
const maxSentOverdueMs = 60_000;
const noChanges: peerOrder.PeerChanges = { changed: [], left: [] };

/** A VM that is connected to this hub. */
interface Follower {
    readonly channel: peerChannel.PeerChannel;
    peer: routes.Peer | undefined;
    /** Whether it was sent all peers; later heartbeats contain only the changes. */
    hasPeerList: boolean;
    hasSnapshots: boolean;
}

/**
 * Creates a hub that does not listen yet.
 *
 * @param options - the address and the state to forward
 * @returns the hub
 */
export const createPeerHub = (options: PeerHubOptions): PeerHub => {
    const { scheduler, logger } = options;
    const followers = new Set<Follower>();
    let connectionCount = 0;
    /** Peers at the last heartbeat. */
    let lastPeers: ReadonlyMap<shared.VmId, routes.Peer> = new Map();

    const isAlive = (follower: Follower): boolean =>
        scheduler.now() - follower.channel.getLastSeenAtMs() < heartbeatIntervalMs * maxMissedHeartbeats;

    const listPeers = (): readonly routes.Peer[] => {
        const byVm = new Map<shared.VmId, routes.Peer>();
        for (const follower of followers) {
            if (follower.peer !== undefined && isAlive(follower)) {
                byVm.set(follower.peer.vm, follower.peer);
            }
        }
        const own = options.getOwnPeer();
        byVm.set(own.vm, own);
        return [...byVm.values()].sort(peerOrder.comparePeers);
    };

    const push = <M extends peerChannel.PeerMethod>(
        method: M,
        params: peerChannel.PeerMessages[M],
        excluded?: Follower,
    ): void => {
        for (const follower of followers) {
            if (follower !== excluded && follower.peer !== undefined) {
                follower.channel.send(method, params);
            }
        }
    };

    const sendHeartbeat = (follower: Follower, changes: peerOrder.PeerChanges): void => {
        const peerChanges = follower.hasPeerList ? changes : { changed: options.listKnownPeers(), left: [] };
        follower.hasPeerList = true;
        const overdueMs = Math.min(maxSentOverdueMs, options.computeOverdueMs());
        follower.channel.send("hub.beat", { isHub: options.isHub(), overdueMs, ...peerChanges });
    };

    /** Sends the state once. A VM that follows another hub does not forward state, so it sends none. */
    const sendSnapshots = (follower: Follower): void => {
        if (!follower.hasSnapshots && options.isHub()) {
            follower.hasSnapshots = true;
            follower.channel.send("state.snapshots", { snapshots: options.listSnapshots() });
            follower.channel.send("target.reports", options.listTargetReports());
        }
    };

    const handleHello = (follower: Follower, peer: routes.Peer): void => {
        const isNew = follower.peer === undefined;
        follower.peer = peer;
        if (isNew) {
            options.handlePeer(peer);
            logger.info("peer: joined", { vm: peer.vm, incarnation: peer.incarnation });
            sendSnapshots(follower);
            sendHeartbeat(follower, noChanges);
        }
    };

    const handleConnection = (socket: net.Socket): void => {
        connectionCount += 1;
        const id = `follower ${String(connectionCount)}`;
        const follower: Follower = {
            channel: peerChannel.createPeerChannel({
                socket,
                clock: scheduler,
                logger,
                onClose: () => {
                    followers.delete(follower);
                    options.handleFollowerLeft(id);
                    if (follower.peer !== undefined) {
                        logger.info("peer: left", { vm: follower.peer.vm });
                    }
                },
            }),
            peer: undefined,
            hasPeerList: false,
            hasSnapshots: false,
        };
        followers.add(follower);
        follower.channel.on("peer.hello", ({ peer }) => handleHello(follower, peer));
        follower.channel.on("peer.met", ({ peer }) => options.handlePeer(peer));
        // A heartbeat only shows that the VM is alive, which the channel has recorded.
        follower.channel.on("peer.beat", () => undefined);
        follower.channel.on("quota.report", report =>
            options.handleQuotaReport(id, report, acknowledgement =>
                follower.channel.send("quota.acknowledge", acknowledgement),
            ),
        );
        follower.channel.on("target.reports", params => {
            const reports = options.handleTargetReports(params);
            if (!peerChannel.isEmpty(reports)) {
                push("target.reports", reports, follower);
            }
        });
    };

    const sendHeartbeats = (): void => {
        const peers = listPeers();
        const changes = peerOrder.comparePeerLists(lastPeers, peers);
        lastPeers = new Map(peers.map(peer => [peer.vm, peer]));
        for (const follower of [...followers]) {
            if (!isAlive(follower)) {
                follower.channel.dispose();
            } else if (follower.peer !== undefined) {
                sendSnapshots(follower);
                sendHeartbeat(follower, changes);
            }
        }
    };
    const heartbeats = repeat.repeatAction(scheduler, heartbeatIntervalMs, sendHeartbeats);

    const server = net.createServer(handleConnection);

    return {
        listen: () =>
            new Promise((resolve, reject) => {
                const { host, port } = ids.splitAddress(options.address);
                server.once("error", reject);
                server.listen({ host, port }, resolve);
            }),
        listPeers,
        closeFollowers: () => {
            const peerChanges: peerOrder.PeerChanges = { changed: options.listKnownPeers(), left: [] };
            for (const follower of [...followers]) {
                sendHeartbeat(follower, peerChanges);
                follower.channel.dispose();
            }
        },
        pushUpdate: update => push("state.update", update),
        pushTargetReports: reports => push("target.reports", reports),
        dispose: () => {
            heartbeats.dispose();
            server.close();
            followers.forEach(follower => follower.channel.dispose());
        },
    };
};
