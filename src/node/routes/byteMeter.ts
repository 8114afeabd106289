/**
 * Counts the bytes of this VM's connections, by kind, direction and whether they cross zones. Traffic between zones is
 * paid for.
 */
import type * as net from "node:net";
import * as repeat from "../../common/repeat.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";

const logIntervalMs = 5_000;

/** Whose connection it is: a caller's, a target's, another entry VM's, the store's, or that of a lookup. */
export type TrafficKind = "client" | "target" | "vm" | "store" | "lookup";
export type TrafficDirection = "in" | "out";
/** Whether the other side is in the same zone, in another one, or where this VM cannot tell. */
export type TrafficZones = "same" | "other" | "unknown";

export interface TrafficCount {
    readonly kind: TrafficKind;
    readonly direction: TrafficDirection;
    readonly zones: TrafficZones;
    readonly bytes: number;
}

/** The part of a socket that is used here. */
export interface CountedSocket extends Pick<net.Socket, "bytesRead" | "bytesWritten"> {
    once(event: "close", listener: () => void): unknown;
}

export interface ByteMeter extends shared.Disposable {
    /**
     * Counts the bytes of a connection from now on.
     *
     * @param socket - the connection
     * @param kind - whose it is
     * @param getZone - returns the zone of the other side; undefined while it is not known
     */
    watch(socket: CountedSocket, kind: TrafficKind, getZone: () => shared.ZoneName | undefined): void;
    /** Counts since the start; at most one for each combination of kind, direction and zones. */
    list(): readonly TrafficCount[];
}

interface WatchedSocket {
    readonly kind: TrafficKind;
    readonly getZone: () => shared.ZoneName | undefined;
    read: number;
    written: number;
}

/**
 * Creates a meter that has counted nothing. Counts are read from the sockets when they are asked for, so that the bytes
 * themselves cost nothing.
 *
 * @param options - the zone of this VM, timers, and the logger that gets what was counted every few seconds
 * @returns the meter
 */
export const createByteMeter = (options: {
    readonly zone: shared.ZoneName;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
}): ByteMeter => {
    const { zone, scheduler, logger } = options;
    const sockets = new Map<CountedSocket, WatchedSocket>();
    const counts = new Map<string, TrafficCount>();
    let loggedCounts: ReadonlyMap<string, TrafficCount> = new Map();

    const add = (kind: TrafficKind, direction: TrafficDirection, zones: TrafficZones, bytes: number): void => {
        if (bytes > 0) {
            const key = `${kind}-${direction}-${zones}`;
            counts.set(key, { kind, direction, zones, bytes: (counts.get(key)?.bytes ?? 0) + bytes });
        }
    };

    const toZones = (otherZone: shared.ZoneName | undefined): TrafficZones =>
        otherZone === undefined ? "unknown" : otherZone === zone ? "same" : "other";

    const collect = (socket: CountedSocket, watched: WatchedSocket): void => {
        const zones = toZones(watched.getZone());
        add(watched.kind, "in", zones, socket.bytesRead - watched.read);
        add(watched.kind, "out", zones, socket.bytesWritten - watched.written);
        watched.read = socket.bytesRead;
        watched.written = socket.bytesWritten;
    };

    const collectAll = (): void => sockets.forEach((watched, socket) => collect(socket, watched));

    const logCounts = (): void => {
        collectAll();
        const changes = [...counts].map(
            ([key, { bytes }]) => [key, bytes - (loggedCounts.get(key)?.bytes ?? 0)] as const,
        );
        loggedCounts = new Map(counts);
        const grown = changes.filter(([, bytes]) => bytes > 0);
        if (grown.length > 0) {
            logger.info("traffic: bytes", { periodMs: logIntervalMs, ...Object.fromEntries(grown) });
        }
    };
    const logging = repeat.repeatAction(scheduler, logIntervalMs, logCounts);

    return {
        watch: (socket, kind, getZone) => {
            if (sockets.has(socket)) {
                return;
            }
            const watched = { kind, getZone, read: socket.bytesRead, written: socket.bytesWritten };
            sockets.set(socket, watched);
            socket.once("close", () => {
                collect(socket, watched);
                sockets.delete(socket);
            });
        },
        list: () => {
            collectAll();
            return [...counts.values()];
        },
        dispose: () => logging.dispose(),
    };
};

/**
 * Creates the function that counts the bytes of connections to targets, and of those to VMs that requests are passed on to.
 *
 * @param meter - the meter
 * @param view - targets and VMs as this VM knows them
 * @returns the function, for a connection and the address that it leads to
 */
export const createAddressWatcher =
    (
        meter: ByteMeter,
        view: { listTargets(): Iterable<routes.Registration>; listPeers(): readonly routes.Peer[] },
    ): ((socket: CountedSocket, address: shared.Address) => void) =>
    (socket, address) => {
        const target = [...view.listTargets()].find(registration => registration.address === address);
        if (target !== undefined) {
            meter.watch(socket, "target", () => target.zone);
            return;
        }
        const peer = view.listPeers().find(({ frontAddress }) => frontAddress === address);
        meter.watch(socket, peer === undefined ? "target" : "vm", () => peer?.zone);
    };
