/**
 * Server side of the connections between entry VMs: forwards what this VM reads from the store to its followers, and
 * sends them the list of peers.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as repeat from "../../common/repeat.js";
import * as clientZones from "../../common/routes/clientZones.js";
import * as peerOrder from "../../common/routes/peerOrder.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import type * as byteMeter from "./byteMeter.js";
import * as configurationPush from "./configurationPush.js";
import * as peerChannel from "./peerChannel.js";
import * as peerMessages from "./peerMessages.js";

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
    readonly traffic: byteMeter.ByteMeter | undefined;
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
    /** Rises with each change of the snapshots; undefined while they change with time. */
    getStateRevision(): number | undefined;
    /** VMs of the plan in force. */
    getPlan(): readonly shared.VmId[];
    /** Plans the active VMs anew. */
    updatePlan(): readonly shared.VmId[];
    recordLookups(lookups: clientZones.LookupCounts | undefined): void;
    /** Describes an update by a difference; undefined if it has to be sent whole. */
    toDifference(update: routes.StateUpdate): configurationPush.StateDifference | undefined;
    listTargetReports(): peerChannel.TargetReports;
    /** Applies reports of a follower; returns those that were new. */
    handleTargetReports(reports: peerChannel.TargetReports): peerChannel.TargetReports;
}

/** Sent in place of infinity, which JSON cannot express. */
const maxSentOverdueMs = 60_000;
/** VMs that join within this time are announced to the others together; they know them within it, too. */
const joinDelayMs = 100;

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
    /** Peers at the last heartbeat, which is what followers know. */
    let lastPeers: ReadonlyMap<shared.VmId, routes.Peer> = new Map();
    let lastPlan: readonly shared.VmId[] = [];
    let joinTimer: shared.Disposable | undefined;
    let introduction: { readonly text: string; readonly message: peerMessages.PeerMessage } | undefined;
    /** The last message with all snapshots, for followers that join before they change. */
    let snapshots: { readonly revision: number | undefined; readonly message: peerMessages.PeerMessage } | undefined;

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
        const message = peerChannel.createMessage(method, params);
        for (const follower of followers) {
            if (follower !== excluded && follower.peer !== undefined) {
                follower.channel.sendMessage(message);
            }
        }
    };

    const pushUpdate = (update: routes.StateUpdate): void => {
        const whole = peerChannel.createMessage("state.update", update);
        const difference = options.toDifference(update);
        const brief = difference === undefined ? whole : peerChannel.createMessage("state.difference", difference);
        for (const { peer, channel } of followers) {
            if (peer !== undefined) {
                channel.sendMessage(channel.hasFeature("differences") ? brief : whole);
            }
        }
    };

    /** Many followers join at once after an outage, so they get the same message. */
    const getSnapshotsMessage = (): peerMessages.PeerMessage => {
        const revision = options.getStateRevision();
        if (snapshots === undefined || revision === undefined || snapshots.revision !== revision) {
            const params = { snapshots: options.listSnapshots() };
            snapshots = { revision, message: peerChannel.createMessage("state.snapshots", params) };
        }
        return snapshots.message;
    };

    const sendConfiguration = (follower: Follower): void => {
        const operators = options.listSnapshots().find(({ table }) => table === "operators");
        if (operators !== undefined) {
            follower.channel.send("state.update", operators);
        }
    };

    const getHeartbeat = (): peerChannel.HubHeartbeat => {
        const overdueMs = Math.min(maxSentOverdueMs, options.computeOverdueMs());
        return { isHub: options.isHub(), overdueMs: Math.round(overdueMs) };
    };

    /**
     * What followers of this hub were told; the next heartbeat tells a new one the rest, the same to all. Other VMs that join
     * this one have to find its own hub.
     */
    const listAnnouncedPeers = (): readonly routes.Peer[] => {
        if (!options.isHub()) {
            return options.listKnownPeers();
        }
        const own = options.getOwnPeer();
        return [own, ...[...lastPeers.values()].filter(({ vm }) => vm !== own.vm)];
    };

    const createIntroduction = (changed: readonly routes.Peer[]): peerMessages.PeerMessage => {
        const { ownFeatures } = peerMessages;
        const plan = options.getPlan();
        const beat = { ...getHeartbeat(), accepts: ownFeatures, plan, changed, left: [] };
        return peerChannel.createMessage("hub.beat", beat);
    };

    /** Sends the first heartbeat, with the VMs that the next one does not report. */
    const sendIntroduction = (follower: Follower): void => {
        follower.hasPeerList = true;
        const peers = listAnnouncedPeers();
        const text = JSON.stringify([getHeartbeat(), options.getPlan(), peers]);
        if (introduction?.text !== text) {
            introduction = { text, message: createIntroduction(peers) };
        }
        follower.channel.sendMessage(introduction.message);
    };

    /** Sends the state once. A VM that follows another hub does not forward state, so it sends none. */
    const sendSnapshots = (follower: Follower): void => {
        if (!follower.hasSnapshots && options.isHub()) {
            follower.hasSnapshots = true;
            follower.channel.sendMessage(getSnapshotsMessage());
            follower.channel.send("target.reports", options.listTargetReports());
        }
    };

    const sendHeartbeats = (): void => {
        const peers = listPeers();
        const changes = peerOrder.comparePeerLists(lastPeers, peers);
        lastPeers = new Map(peers.map(peer => [peer.vm, peer]));
        const plan = options.isHub() ? options.updatePlan() : options.getPlan();
        const isPlanNew = plan.join(" ") !== lastPlan.join(" ");
        lastPlan = plan;
        const heartbeat = { ...getHeartbeat(), ...(isPlanNew ? { plan } : {}) };
        const whole = peerChannel.createMessage("hub.beat", { ...heartbeat, ...changes });
        const hasChanges = changes.changed.length + changes.left.length > 0;
        const brief = hasChanges ? whole : peerChannel.createMessage("hub.beat", heartbeat);
        for (const follower of [...followers]) {
            const { channel } = follower;
            if (!isAlive(follower)) {
                channel.dispose();
            } else if (follower.peer !== undefined) {
                sendSnapshots(follower);
                channel.sendMessage(channel.hasFeature("differences") ? brief : whole);
            }
        }
    };
    const heartbeats = repeat.repeatAction(scheduler, heartbeatIntervalMs, sendHeartbeats);

    const scheduleJoins = (): void => {
        joinTimer ??= scheduler.schedule(joinDelayMs, () => {
            joinTimer = undefined;
            sendHeartbeats();
        });
    };

    const handleHello = (follower: Follower, peer: routes.Peer): void => {
        const isNew = follower.peer === undefined;
        follower.peer = peer;
        if (isNew) {
            options.handlePeer(peer);
            logger.info("peer: joined", { vm: peer.vm, incarnation: peer.incarnation });
            sendSnapshots(follower);
            sendIntroduction(follower);
            scheduleJoins();
        }
    };

    const handleConnection = (socket: net.Socket): void => {
        const follower: Follower = {
            channel: peerChannel.createPeerChannel({
                socket,
                clock: scheduler,
                logger,
                onClose: () => {
                    followers.delete(follower);
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
        options.traffic?.watch(socket, "vm", () => follower.peer?.zone);
        follower.channel.on("peer.hello", ({ peer, accepts }) => {
            follower.channel.setFeatures(accepts);
            handleHello(follower, peer);
        });
        follower.channel.on("state.request", () => sendConfiguration(follower));
        follower.channel.on("peer.met", ({ peer }) => options.handlePeer(peer));
        // That the VM is alive has been recorded by the channel.
        follower.channel.on("peer.beat", ({ lookups }) => options.recordLookups(lookups));
        follower.channel.on("target.reports", params => {
            const reports = options.handleTargetReports(params);
            if (!peerChannel.isEmpty(reports)) {
                push("target.reports", reports, follower);
            }
        });
    };

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
            const message = createIntroduction(options.listKnownPeers());
            for (const { channel } of [...followers]) {
                channel.sendMessage(message);
                channel.dispose();
            }
        },
        pushUpdate,
        pushTargetReports: reports => push("target.reports", reports),
        dispose: () => {
            heartbeats.dispose();
            joinTimer?.dispose();
            server.close();
            followers.forEach(follower => follower.channel.dispose());
        },
    };
};
