/**
 * The connecting side between entry VMs: keeps a connection to the oldest VM that can be reached. A hub whose view of the
 * store is old is left only if this VM reaches the store itself; while the store is away for all, the hub still tells
 * which VMs live.
 */
import * as net from "node:net";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as connectionPool from "./connectionPool.js";
import * as peerChannel from "./peerChannel.js";
import * as peerHub from "./peerHub.js";
import * as types from "./Types.js";

/** Rank of a VM that the store does not know yet. JSON has no infinity. */
export const unregisteredRank = Number.MAX_SAFE_INTEGER;
const openTimeoutMs = 250;
/** A hub that has not given its first beat by then is passed over. */
const firstBeatTimeoutMs = 300;
/** A hub with an older view of the store does not count as fresh. */
const freshAgeMs = 2_200;
/** A VM that follows the store itself looks for an older one this often. */
const searchIntervalMs = 2_000;
/** A VM that could not be reached is passed over for this time. */
const avoidMs = 5_000;

export interface HubLink extends shared.Disposable {
    start(): void;
    /** Whether a fresh hub is connected. */
    isLinked(): boolean;
    /** VMs that the hub is connected to; empty without a hub. */
    listPeers(): readonly routes.Peer[];
    countCandidates(): number;
    /** VMs that may be a hub. */
    setCandidates(peers: readonly routes.Peer[]): void;
    sendHello(): void;
    sendReports(reports: readonly types.SharedReport[]): void;
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

interface Link {
    readonly channel: peerChannel.PeerChannel;
    readonly address: shared.Address;
    ageMs: number;
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
    let candidates: readonly routes.Peer[] = [];
    let peers: readonly routes.Peer[] = [];
    let link: Link | undefined;
    let isDisposed = false;
    let isSearching = false;
    let timer: shared.Disposable | undefined;

    const isHeard = (entry: Link): boolean =>
        scheduler.now() - entry.beatAtMs < peerHub.beatIntervalMs * peerHub.missedBeats;

    const isFresh = (entry: Link): boolean => entry.ageMs < freshAgeMs;

    const isUseful = (entry: Link): boolean => isHeard(entry) && (isFresh(entry) || !options.isStoreFresh());

    /** Older VMs in the order of their age, then seeds that are not known as VMs. */
    const listAddresses = (): shared.Address[] => {
        const own = options.getOwn();
        const known = candidates.filter(peer => peer.vm !== own.vm);
        const older = known
            .filter(peer => peer.rank < own.rank)
            .sort((left, right) => left.rank - right.rank)
            .map(peer => peer.peerAddress);
        const isKnown = (address: shared.Address): boolean =>
            address === own.peerAddress || known.some(peer => peer.peerAddress === address);
        const seeds = own.rank === unregisteredRank ? options.seeds.filter(address => !isKnown(address)) : [];
        const nowMs = scheduler.now();
        return [...older, ...seeds].filter(address => (avoided.get(address) ?? 0) <= nowMs);
    };

    const openSocket = (address: shared.Address): Promise<net.Socket | undefined> =>
        new Promise(resolve => {
            const [host, port] = connectionPool.splitAddress(address);
            const socket = net.connect({ host, port });
            const timeout = scheduler.schedule(openTimeoutMs, () => socket.destroy(new Error("timeout")));
            socket.once("connect", () => {
                timeout.dispose();
                resolve(socket);
            });
            socket.once("error", () => {
                timeout.dispose();
                resolve(undefined);
            });
        });

    const join = (socket: net.Socket, address: shared.Address): Promise<Link | undefined> =>
        new Promise(resolve => {
            const channel = peerChannel.createPeerChannel({
                socket,
                clock: scheduler,
                logger,
                onClose: () => {
                    resolve(undefined);
                    handleClose(entry);
                },
            });
            const entry: Link = { channel, address, ageMs: Infinity, beatAtMs: scheduler.now() };
            const timeout = scheduler.schedule(firstBeatTimeoutMs, () => resolve(undefined));
            channel.on("hub.beat", ({ ageMs, peers: told }) => {
                entry.ageMs = ageMs;
                entry.beatAtMs = scheduler.now();
                if (told !== null && (link === undefined || link === entry)) {
                    peers = told;
                    candidates = told;
                }
                timeout.dispose();
                resolve(entry);
            });
            options.handleMessages(channel);
            channel.send("peer.hello", { peer: options.getOwn() });
        });

    const tryAddress = async (address: shared.Address): Promise<boolean> => {
        const socket = await openSocket(address);
        const entry = socket === undefined ? undefined : await join(socket, address);
        if (entry === undefined || !isUseful(entry) || isDisposed) {
            socket?.destroy();
            avoided.set(address, scheduler.now() + avoidMs);
            return false;
        }
        link = entry;
        logger.info("peer: follows hub", { address, ageMs: Math.round(entry.ageMs) });
        options.handleLinked();
        return true;
    };

    const handleClose = (entry: Link): void => {
        if (link === entry) {
            lose("closed");
        }
    };

    const lose = (reason: string): void => {
        const lost = link;
        link = undefined;
        peers = [];
        if (lost !== undefined) {
            logger.warn("peer: hub lost", { address: lost.address, reason });
            avoided.set(lost.address, scheduler.now() + avoidMs);
            lost.channel.dispose();
        }
        void search();
    };

    const search = async (): Promise<void> => {
        if (isSearching || isDisposed || link !== undefined) {
            return;
        }
        isSearching = true;
        let isFound = false;
        for (const address of listAddresses()) {
            isFound = await tryAddress(address);
            if (isFound) {
                break;
            }
        }
        isSearching = false;
        if (!isFound) {
            options.handleNeed(true);
        }
    };

    const check = (): void => {
        if (link !== undefined) {
            link.channel.send("peer.hello", { peer: options.getOwn() });
            options.handleNeed(!isFresh(link));
            if (!isUseful(link)) {
                lose(isHeard(link) ? "old view of the store" : "silent");
            }
        }
        timer = scheduler.schedule(peerHub.beatIntervalMs, check);
    };

    const searchAgain = (): void => {
        void search();
        searchTimer = scheduler.schedule(searchIntervalMs, searchAgain);
    };
    let searchTimer: shared.Disposable | undefined;

    return {
        start: () => {
            check();
            searchAgain();
        },
        isLinked: () => link !== undefined,
        listPeers: () => peers,
        countCandidates: () => candidates.length,
        setCandidates: known => {
            candidates = known;
        },
        sendHello: () => link?.channel.send("peer.hello", { peer: options.getOwn() }),
        sendReports: reports => link?.channel.send("load.reports", { reports }),
        sendCrashes: reports => link?.channel.send("crash.reports", { reports }),
        dispose: () => {
            isDisposed = true;
            timer?.dispose();
            searchTimer?.dispose();
            link?.channel.dispose();
        },
    };
};
