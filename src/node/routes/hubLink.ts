/**
 * The connecting side between entry VMs: keeps a connection to the first VM in the order of peers that can be reached. A
 * hub whose view of the store is old is left only if this VM reaches the store itself; while the store is away for all,
 * the hub still tells which VMs live.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as peerOrder from "../../common/routes/peerOrder.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as peerChannel from "./peerChannel.js";
import * as peerHub from "./peerHub.js";

const openTimeoutMs = 250;
/** A VM that has not given its first beat by then is passed over. */
const firstBeatTimeoutMs = 300;
/**
 * A hub that the store owes an answer for longer has no fresh view. With the longest interval between two answers of the
 * table of targets, 750 ms, and a beat, changes are read elsewhere within the 2 s that the platform allows.
 */
export const longestOverdueMs = 500;
/** A VM that has lost its hub follows the store itself if no other hub is found by then. */
const searchGraceMs = 200;
/** A silent hub is noticed within this time after its last beat has run out. */
const checkIntervalMs = 100;
/** A VM without a hub looks for one this often. */
const searchIntervalMs = 1_000;
/** A VM that could not be reached is passed over for this time, as each try takes `openTimeoutMs`. */
const avoidMs = 5_000;
/** A machine that refuses a connection is up, and its daemon starts or starts again within about a second. */
const avoidRefusedMs = 500;

export interface HubLink extends shared.Disposable {
    start(): void;
    /** Whether a hub is connected. */
    isLinked(): boolean;
    /** VMs that the hub is connected to; empty without a hub. */
    listPeers(): readonly routes.Peer[];
    /** VMs that were ever heard of and not said to have left. */
    countCandidates(): number;
    /** Takes note of a VM that may be a hub. */
    addCandidate(peer: routes.Peer): void;
    /** Tells the hub of a VM that may go before it. */
    sendMet(peer: routes.Peer): void;
    sendHello(): void;
    sendCrashes(reports: readonly peerChannel.CrashReport[]): void;
}

export interface HubLinkOptions {
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly seeds: readonly shared.Address[];
    getOwn(): routes.Peer;
    /** Whether this VM follows the store itself, with success. */
    isStoreFresh(): boolean;
    handleMessages(channel: peerChannel.PeerChannel): void;
    /** This VM has joined a hub. */
    handleLinked(): void;
    /** Whether this VM needs its own view of the store; told again and again. */
    handleNeed(needsStore: boolean): void;
}

/** Why a hub is left: its connection ended, it was not heard, or it has an old view of the store or is no hub any more. */
type LossReason = "closed" | "silent" | "not useful";

/** A VM that answers is asked again at the next search, which shows whether it has become useful. */
const lossAvoidMs: Readonly<Record<LossReason, number>> = {
    closed: avoidRefusedMs,
    silent: avoidMs,
    "not useful": 0,
};

type Opening =
    | { readonly kind: "open"; readonly socket: net.Socket }
    /** No answer from the machine. */
    | { readonly kind: "silent" }
    /** The machine is up, but nothing listens there. */
    | { readonly kind: "refused" };

interface Link {
    readonly channel: peerChannel.PeerChannel;
    readonly address: shared.Address;
    readonly peers: Map<shared.VmId, routes.Peer>;
    isHub: boolean;
    overdueMs: number;
    beatAtMs: number;
}

/**
 * Creates a link that is not started.
 *
 * @param options - who this VM is and what to do with messages
 * @returns the link
 */
export const createHubLink = (options: HubLinkOptions): HubLink => {
    const { scheduler, logger } = options;
    const avoided = new Map<shared.Address, number>();
    const candidates = new Map<shared.VmId, routes.Peer>();
    let link: Link | undefined;
    let isDisposed = false;
    let isSearching = false;
    let helloText = "";
    let graceTimer: shared.Disposable | undefined;
    let timers: shared.Disposable[] = [];

    const isHeard = (entry: Link): boolean =>
        scheduler.now() - entry.beatAtMs < peerHub.beatIntervalMs * peerHub.missedBeats;

    const isFresh = (entry: Link): boolean => entry.overdueMs < longestOverdueMs;

    const isUseful = (entry: Link): boolean =>
        entry.isHub && isHeard(entry) && (isFresh(entry) || !options.isStoreFresh());

    const isBefore = (peer: routes.Peer): boolean => peerOrder.comparePeers(peer, options.getOwn()) < 0;

    /** The VM at an address, as far as known; a seed is only an address at first. */
    const findPeer = (address: shared.Address): routes.Peer | undefined =>
        [...candidates.values()].find(peer => peer.peerAddress === address);

    /** The next address to try: VMs in their order, then seeds that are not known as VMs. */
    const findNext = (tried: ReadonlySet<shared.Address>): shared.Address | undefined => {
        const own = options.getOwn();
        const nowMs = scheduler.now();
        const before = [...candidates.values()]
            .filter(peer => peer.vm !== own.vm && isBefore(peer))
            .sort(peerOrder.comparePeers)
            .map(peer => peer.peerAddress);
        const seeds = options.seeds.filter(seed => seed !== own.peerAddress && findPeer(seed) === undefined);
        return [...before, ...seeds].find(address => !tried.has(address) && (avoided.get(address) ?? 0) <= nowMs);
    };

    const openSocket = (address: shared.Address): Promise<Opening> =>
        new Promise(resolve => {
            const { host, port } = ids.splitAddress(address);
            const socket = net.connect({ host, port });
            const timeout = scheduler.schedule(openTimeoutMs, () => {
                resolve({ kind: "silent" });
                socket.destroy(new Error("timeout"));
            });
            socket.once("connect", () => {
                timeout.dispose();
                resolve({ kind: "open", socket });
            });
            socket.once("error", () => {
                timeout.dispose();
                resolve({ kind: "refused" });
            });
        });

    const avoid = (address: shared.Address, forMs: number): void => void avoided.set(address, scheduler.now() + forMs);

    const handleBeat = (entry: Link, beat: peerChannel.HubBeat): void => {
        entry.isHub = beat.isHub;
        entry.overdueMs = beat.overdueMs;
        entry.beatAtMs = scheduler.now();
        for (const peer of beat.changed) {
            entry.peers.set(peer.vm, peer);
            candidates.set(peer.vm, peer);
        }
        for (const vm of beat.left) {
            entry.peers.delete(vm);
            candidates.delete(vm);
        }
    };

    /** Says hello to a VM and waits for its first beat. */
    const join = (socket: net.Socket, address: shared.Address): Promise<Link | undefined> =>
        new Promise(resolve => {
            const channel = peerChannel.createPeerChannel({
                socket,
                clock: scheduler,
                logger,
                onClose: () => {
                    resolve(undefined);
                    if (link === entry) {
                        lose("closed");
                    }
                },
            });
            const entry: Link = {
                channel,
                address,
                peers: new Map(),
                isHub: false,
                overdueMs: Infinity,
                beatAtMs: scheduler.now(),
            };
            const timeout = scheduler.schedule(firstBeatTimeoutMs, () => resolve(undefined));
            channel.on("hub.beat", beat => {
                handleBeat(entry, beat);
                timeout.dispose();
                resolve(entry);
            });
            options.handleMessages(channel);
            channel.send("peer.hello", { peer: options.getOwn() });
        });

    const tryAddress = async (address: shared.Address): Promise<boolean> => {
        const opening = await openSocket(address);
        if (opening.kind !== "open") {
            avoid(address, opening.kind === "refused" ? avoidRefusedMs : avoidMs);
            return false;
        }
        const entry = await join(opening.socket, address);
        const peer = findPeer(address);
        const isHub = entry !== undefined && peer !== undefined && isBefore(peer) && isUseful(entry);
        if (!isHub || isDisposed) {
            opening.socket.destroy();
            if (entry === undefined) {
                avoid(address, avoidMs);
            }
            return false;
        }
        link = entry;
        helloText = "";
        logger.info("peer: follows hub", { vm: peer.vm, address, overdueMs: Math.round(entry.overdueMs) });
        options.handleLinked();
        return true;
    };

    const lose = (reason: LossReason): void => {
        const lost = link;
        link = undefined;
        if (lost !== undefined) {
            logger.warn("peer: hub lost", { address: lost.address, reason });
            avoid(lost.address, lossAvoidMs[reason]);
            lost.channel.dispose();
            graceTimer?.dispose();
            graceTimer = scheduler.schedule(searchGraceMs, () => {
                if (link === undefined && !isDisposed) {
                    options.handleNeed(true);
                }
            });
        }
        void search();
    };

    const search = async (): Promise<void> => {
        if (isSearching || isDisposed || link !== undefined) {
            return;
        }
        isSearching = true;
        const tried = new Set<shared.Address>();
        let isFound = false;
        for (let address = findNext(tried); address !== undefined && !isFound; address = findNext(tried)) {
            tried.add(address);
            isFound = await tryAddress(address);
        }
        isSearching = false;
        if (!isFound) {
            options.handleNeed(true);
        }
    };

    /** Sends what this VM tells of itself if it has changed, a short sign of life otherwise. */
    const sendSign = (entry: Link): void => {
        const own = options.getOwn();
        const text = JSON.stringify(own);
        if (text === helloText) {
            entry.channel.send("peer.beat", {});
            return;
        }
        helloText = text;
        entry.channel.send("peer.hello", { peer: own });
    };

    const sendOwnSign = (): void => {
        if (link !== undefined) {
            sendSign(link);
        }
    };

    const check = (): void => {
        if (link !== undefined) {
            options.handleNeed(!isFresh(link));
            if (!isUseful(link)) {
                lose(isHeard(link) ? "not useful" : "silent");
            }
        }
    };

    const repeat = (intervalMs: number, action: () => void): shared.Disposable => {
        let timer: shared.Disposable;
        const runAgain = (): void => {
            action();
            timer = scheduler.schedule(intervalMs, runAgain);
        };
        runAgain();
        return { dispose: () => timer.dispose() };
    };

    return {
        start: () => {
            timers = [
                repeat(peerHub.beatIntervalMs, sendOwnSign),
                repeat(checkIntervalMs, check),
                repeat(searchIntervalMs, () => void search()),
            ];
        },
        isLinked: () => link !== undefined,
        listPeers: () => [...(link?.peers.values() ?? [])],
        countCandidates: () => candidates.size,
        addCandidate: peer => {
            candidates.set(peer.vm, peer);
            if (isBefore(peer)) {
                avoided.delete(peer.peerAddress);
                void search();
            }
        },
        sendMet: peer => link?.channel.send("peer.met", { peer }),
        sendHello: sendOwnSign,
        sendCrashes: reports => link?.channel.send("crash.reports", { reports }),
        dispose: () => {
            isDisposed = true;
            timers.forEach(timer => timer.dispose());
            graceTimer?.dispose();
            link?.channel.dispose();
        },
    };
};
