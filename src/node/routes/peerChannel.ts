/**
 * JSON-RPC notifications over a TCP connection, one line each.
 */
import * as net from "node:net";
import * as jsonRpc from "json-rpc-2.0";
import * as peerOrder from "../../common/routes/peerOrder.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";

/** A peer that does not read loses its connection before it costs memory. */
const maxBufferedBytes = 4 * 1024 * 1024;
const maxLineBytes = 8 * 1024 * 1024;

export interface CrashReport {
    readonly fingerprint: string;
    readonly target: shared.TargetId;
}

export interface HubBeat extends peerOrder.PeerChanges {
    /** False if the VM follows a hub itself; it then only helps to find that one. */
    readonly isHub: boolean;
    /** How long the store owes the hub an answer. */
    readonly overdueMs: number;
}

/** Notifications by method. */
export interface PeerMessages {
    /** A VM joins, or what it tells of itself has changed. */
    readonly "peer.hello": { readonly peer: routes.Peer };
    /** A VM that follows a hub tells it of a visitor, which may be a hub that goes before it. */
    readonly "peer.met": { readonly peer: routes.Peer };
    /** A VM is alive. */
    readonly "peer.beat": Readonly<Record<string, never>>;
    /** The hub's regular message: how old its view of the store is, and who has joined or left. */
    readonly "hub.beat": HubBeat;
    readonly "state.snapshots": { readonly snapshots: readonly routes.StateSnapshot[] };
    readonly "state.changes": { readonly changes: readonly routes.StateChange[] };
    readonly "crash.reports": { readonly reports: readonly CrashReport[] };
}

export type PeerMethod = keyof PeerMessages;

export interface PeerChannel extends shared.Disposable {
    send<M extends PeerMethod>(method: M, params: PeerMessages[M]): void;
    on<M extends PeerMethod>(method: M, handler: (params: PeerMessages[M]) => void): void;
    /** Local monotonic time of the last message. */
    getHeardAtMs(): number;
}

/**
 * Wraps a connection to a peer.
 *
 * @param options - the socket, the clock and what to do at its end
 * @returns the channel
 */
export const createPeerChannel = (options: {
    readonly socket: net.Socket;
    readonly clock: shared.Clock;
    readonly logger: shared.Logger;
    onClose(): void;
}): PeerChannel => {
    const { socket, clock, logger } = options;
    const server = new jsonRpc.JSONRPCServer({
        errorListener: message => logger.warn("peer: message failed", { message }),
    });
    let heardAtMs = clock.now();
    let received = "";
    let isClosed = false;

    const close = (): void => {
        if (!isClosed) {
            isClosed = true;
            socket.destroy();
            options.onClose();
        }
    };

    const receive = (line: string): void => {
        heardAtMs = clock.now();
        // Notifications get no answer, so that nothing is sent back.
        void server.receiveJSON(line);
    };

    socket.setEncoding("utf8");
    socket.setNoDelay(true);
    socket.on("data", chunk => {
        const lines = (received + String(chunk)).split("\n");
        received = lines.pop() ?? "";
        if (received.length > maxLineBytes) {
            logger.warn("peer: line too long", { bytes: received.length });
            close();
            return;
        }
        lines.forEach(receive);
    });
    socket.on("error", error => logger.debug("peer: connection failed", { reason: error.message }));
    socket.on("end", close);
    socket.on("close", close);

    return {
        send: (method, params) => {
            if (isClosed) {
                return;
            }
            if (socket.writableLength > maxBufferedBytes) {
                logger.warn("peer: does not read", { bytes: socket.writableLength });
                close();
                return;
            }
            socket.write(`${JSON.stringify(jsonRpc.createJSONRPCNotification(method, params))}\n`);
        },
        // Peers run the same program, so that a message has the form of its type.
        on: <M extends PeerMethod>(method: M, handler: (params: PeerMessages[M]) => void) =>
            server.addMethod(method, (params: unknown) => handler(params as PeerMessages[M])),
        getHeardAtMs: () => heardAtMs,
        dispose: close,
    };
};
