/**
 * Pool of keep-alive connections to targets.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as repeat from "../../common/repeat.js";
import * as shared from "../../common/Types.js";
import * as readControl from "./readControl.js";
import * as targetConnection from "./targetConnection.js";
import * as types from "./Types.js";
import * as unexpectedResponses from "./unexpectedResponses.js";

/** Zones are a few milliseconds apart, and another target can be tried. */
const connectTimeoutMs = 250;
const expiryCheckIntervalMs = 1_000;

export interface AcquireRequest {
    readonly address: shared.Address;
    /** Connections idle for longer are not used for this request, as they may be dead without having been closed. */
    readonly maxIdleMs: number;
    /** Id of the request, which goes to a connection that has not carried it; undefined for probes. */
    readonly requestId: string | undefined;
}

export interface ConnectionPool extends shared.Disposable {
    /** Takes an idle connection or opens one for exclusive use; undefined if none can be opened. */
    acquire(request: AcquireRequest): Promise<targetConnection.TargetConnection | undefined>;
    /** Returns a connection to the pool. */
    release(connection: targetConnection.TargetConnection): void;
    /** Closes the idle connections to an address. */
    closeIdle(address: shared.Address): void;
    /** Total number of connections opened. */
    countOpened(): number;
}

/**
 * Creates an empty pool.
 *
 * @param options - clock and HTTP dialect of the connections
 * @returns the pool
 */
export const createConnectionPool = (options: {
    readonly scheduler: shared.Scheduler;
    readonly dialect: types.HttpDialect;
    /** Counts and logs responses that belong to no request, or to another one. */
    readonly recordUnexpected?: unexpectedResponses.UnexpectedRecorder;
    /** Called with each connection and the address that it leads to. */
    readonly watchSocket?: (socket: net.Socket, address: shared.Address) => void;
}): ConnectionPool => {
    const { scheduler, dialect } = options;
    const idle = new Map<shared.Address, targetConnection.TargetConnection[]>();
    const readTurns = readControl.createReadTurns();
    let opened = 0;

    const removeIdle = (address: shared.Address, connection: targetConnection.TargetConnection): void => {
        const list = idle.get(address);
        const index = list?.indexOf(connection) ?? -1;
        if (list !== undefined && index >= 0) {
            list.splice(index, 1);
        }
    };

    const open = (address: shared.Address): Promise<targetConnection.TargetConnection | undefined> =>
        new Promise(resolve => {
            const { host, port } = ids.splitAddress(address);
            const socket = net.connect({ host, port });
            const timer = scheduler.schedule(connectTimeoutMs, () => socket.destroy(new Error("timeout")));
            const fail = (): void => {
                timer.dispose();
                resolve(undefined);
            };
            socket.once("error", fail);
            socket.once("connect", () => {
                timer.dispose();
                socket.off("error", fail);
                opened++;
                options.watchSocket?.(socket, address);
                const connection: targetConnection.TargetConnection = targetConnection.createTargetConnection({
                    socket,
                    address,
                    number: opened,
                    dialect,
                    clock: scheduler,
                    readTurns,
                    recordUnexpected: options.recordUnexpected,
                    onClose: () => removeIdle(address, connection),
                });
                resolve(connection);
            });
        });

    const closeIdle = (address: shared.Address): void => {
        for (const connection of [...(idle.get(address) ?? [])]) {
            connection.dispose();
        }
    };

    const closeExpired = (): void => {
        const nowMs = scheduler.now();
        for (const [address, list] of idle) {
            for (const connection of list.filter(entry => !entry.isReusable(nowMs))) {
                connection.dispose();
            }
            if (list.length === 0) {
                idle.delete(address);
            }
        }
    };
    const expiryChecks = repeat.repeatAction(scheduler, expiryCheckIntervalMs, closeExpired);

    return {
        acquire: async ({ address, maxIdleMs, requestId }) => {
            const nowMs = scheduler.now();
            const usable = (idle.get(address) ?? []).filter(
                connection => connection.isReusable(nowMs) && connection.computeIdleMs(nowMs) <= maxIdleMs,
            );
            // The most recently used connection first, as it is the least likely to be dead.
            const connection = usable.findLast(({ hasCarried }) => requestId === undefined || !hasCarried(requestId));
            if (connection !== undefined) {
                removeIdle(address, connection);
                return connection;
            }
            // Replaced, so that a request that is sent again and again does not add connections.
            usable.at(-1)?.dispose();
            return open(address);
        },
        release: connection => {
            const { address } = connection;
            if (!connection.isReusable(scheduler.now())) {
                connection.dispose();
                return;
            }
            const list = idle.get(address) ?? [];
            list.push(connection);
            idle.set(address, list);
        },
        closeIdle,
        countOpened: () => opened,
        dispose: () => {
            expiryChecks.dispose();
            for (const address of [...idle.keys()]) {
                closeIdle(address);
            }
        },
    };
};
