/**
 * The serving side between entry VMs: passes what it reads in the store on to the VMs that are connected to it, and
 * tells them which others are.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as events from "../../common/events.js";
import * as peerOrder from "../../common/routes/peerOrder.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as peerChannel from "./peerChannel.js";

/** Also the time after which a VM that lost its power is noticed, times `missedBeats`. */
export const beatIntervalMs = 400;
export const missedBeats = 3;

export interface PeerHub extends shared.Disposable {
    listen(): Promise<void>;
    /** VMs that are connected and were heard lately. */
    listPeers(): readonly routes.Peer[];
    /** Sends the connected VMs away, as this VM is no hub any more; it tells them whom it knows. */
    closeSpokes(): void;
    pushChanges(changes: readonly routes.StateChange[]): void;
    pushCrashes(reports: readonly peerChannel.CrashReport[]): void;
    readonly onDidReceiveCrashes: shared.Event<readonly peerChannel.CrashReport[]>;
}

export interface PeerHubOptions {
    readonly address: shared.Address;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    getOwn(): routes.Peer;
    /** How long the store owes this VM an answer; infinite if this VM does not follow the store. */
    computeOverdueMs(): number;
    /** A VM has told of itself. */
    handlePeer(peer: routes.Peer): void;
    /** All VMs that this VM knows to live, also by its own hub. */
    listKnown(): readonly routes.Peer[];
    /** Whether this VM follows no other hub. */
    isHub(): boolean;
    listSnapshots(): readonly routes.StateSnapshot[];
}

/** Stands for a time without bound, which JSON cannot express. */
const longestOverdueMs = 60_000;
const noChanges: peerOrder.PeerChanges = { changed: [], left: [] };

interface Spoke {
    readonly channel: peerChannel.PeerChannel;
    peer: routes.Peer | undefined;
    /** Whether it was told all peers; later beats bear the changes only. */
    wasTold: boolean;
    hasSnapshots: boolean;
}

/**
 * Creates a hub that does not listen yet.
 *
 * @param options - address and the state to pass on
 * @returns the hub
 */
export const createPeerHub = (options: PeerHubOptions): PeerHub => {
    const { scheduler, logger } = options;
    const spokes = new Set<Spoke>();
    /** Peers at the last beat. */
    let known: ReadonlyMap<shared.VmId, routes.Peer> = new Map();
    const crashEmitter = events.createEmitter<readonly peerChannel.CrashReport[]>();

    const isHeard = (spoke: Spoke): boolean =>
        scheduler.now() - spoke.channel.getHeardAtMs() < beatIntervalMs * missedBeats;

    const listPeers = (): readonly routes.Peer[] => {
        const byVm = new Map<shared.VmId, routes.Peer>();
        for (const spoke of spokes) {
            if (spoke.peer !== undefined && isHeard(spoke)) {
                byVm.set(spoke.peer.vm, spoke.peer);
            }
        }
        const own = options.getOwn();
        byVm.set(own.vm, own);
        return [...byVm.values()].sort(peerOrder.comparePeers);
    };

    const push = <M extends peerChannel.PeerMethod>(
        method: M,
        params: peerChannel.PeerMessages[M],
        except?: Spoke,
    ): void => {
        for (const spoke of spokes) {
            if (spoke !== except && spoke.peer !== undefined) {
                spoke.channel.send(method, params);
            }
        }
    };

    const sendBeat = (spoke: Spoke, changes: peerOrder.PeerChanges): void => {
        const told = spoke.wasTold ? changes : { changed: options.listKnown(), left: [] };
        spoke.wasTold = true;
        const overdueMs = Math.min(longestOverdueMs, options.computeOverdueMs());
        spoke.channel.send("hub.beat", { isHub: options.isHub(), overdueMs, ...told });
    };

    /** A VM that follows another hub has nothing to pass on; it takes no part of the state of its own. */
    const sendSnapshots = (spoke: Spoke): void => {
        if (!spoke.hasSnapshots && options.isHub()) {
            spoke.hasSnapshots = true;
            spoke.channel.send("state.snapshots", { snapshots: options.listSnapshots() });
        }
    };

    const handleHello = (spoke: Spoke, peer: routes.Peer): void => {
        const isNew = spoke.peer === undefined;
        spoke.peer = peer;
        if (isNew) {
            options.handlePeer(peer);
            logger.info("peer: joined", { vm: peer.vm, incarnation: peer.incarnation });
            sendSnapshots(spoke);
            sendBeat(spoke, noChanges);
        }
    };

    const handleConnection = (socket: net.Socket): void => {
        const spoke: Spoke = {
            channel: peerChannel.createPeerChannel({
                socket,
                clock: scheduler,
                logger,
                onClose: () => {
                    spokes.delete(spoke);
                    if (spoke.peer !== undefined) {
                        logger.info("peer: left", { vm: spoke.peer.vm });
                    }
                },
            }),
            peer: undefined,
            wasTold: false,
            hasSnapshots: false,
        };
        spokes.add(spoke);
        spoke.channel.on("peer.hello", ({ peer }) => handleHello(spoke, peer));
        spoke.channel.on("peer.met", ({ peer }) => options.handlePeer(peer));
        // A beat only shows that the VM is alive, which the channel has noted.
        spoke.channel.on("peer.beat", () => undefined);
        spoke.channel.on("crash.reports", params => {
            crashEmitter.fire(params.reports);
            push("crash.reports", params, spoke);
        });
    };

    const beat = (): void => {
        const peers = listPeers();
        const changes = peerOrder.comparePeerLists(known, peers);
        known = new Map(peers.map(peer => [peer.vm, peer]));
        for (const spoke of [...spokes]) {
            if (!isHeard(spoke)) {
                spoke.channel.dispose();
            } else if (spoke.peer !== undefined) {
                sendSnapshots(spoke);
                sendBeat(spoke, changes);
            }
        }
        timer = scheduler.schedule(beatIntervalMs, beat);
    };
    let timer = scheduler.schedule(beatIntervalMs, beat);

    const server = net.createServer(handleConnection);

    return {
        listen: () =>
            new Promise((resolve, reject) => {
                const { host, port } = ids.splitAddress(options.address);
                server.once("error", reject);
                server.listen({ host, port }, resolve);
            }),
        listPeers,
        closeSpokes: () => {
            const told: peerOrder.PeerChanges = { changed: options.listKnown(), left: [] };
            for (const spoke of [...spokes]) {
                sendBeat(spoke, told);
                spoke.channel.dispose();
            }
        },
        pushChanges: changes => push("state.changes", { changes }),
        pushCrashes: reports => push("crash.reports", { reports }),
        onDidReceiveCrashes: crashEmitter.event,
        dispose: () => {
            timer.dispose();
            server.close();
            spokes.forEach(spoke => spoke.channel.dispose());
        },
    };
};
