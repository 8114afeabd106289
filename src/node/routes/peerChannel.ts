/**
 * JSON-RPC notifications over a TCP connection, one per line.
 */
import * as net from "node:net";
import * as jsonRpc from "json-rpc-2.0";
import * as crashTypes from "../../common/crashes/Types.js";
import * as errorText from "../../common/errors/errorText.js";
import * as clientZones from "../../common/routes/clientZones.js";
import * as peerOrder from "../../common/routes/peerOrder.js";
import * as targetLimits from "../../common/routes/targetLimits.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as configurationPush from "./configurationPush.js";
import * as peerMessages from "./peerMessages.js";

/** Limits the memory that a peer which does not read can take up; beyond this its connection is closed. */
const maxSendBufferBytes = 4 * 1024 * 1024;
const maxLineBytes = 8 * 1024 * 1024;

/** What a VM sends of itself in its first message; VMs of earlier versions leave it out. */
export interface Introduction {
    readonly accepts?: readonly peerMessages.PeerFeature[];
}

/** The changes are left out if there are none and the receiver accepts differences. */
export interface HubHeartbeat extends Introduction, Partial<peerOrder.PeerChanges> {
    /** False if the VM follows a hub itself; other VMs can then only find that hub through it. */
    readonly isHub: boolean;
    /** How long the store's response to the hub is overdue. */
    readonly overdueMs: number;
    /** The hub's plan of active VMs, in the first heartbeat and when it has changed; VMs of earlier versions have none. */
    readonly plan?: readonly shared.VmId[];
}

export interface TargetReports {
    readonly limits: readonly targetLimits.LimitReport[];
    readonly leaving: readonly routes.LeavingReport[];
    /** Requests under which targets have ended; VMs of earlier versions do not send them. */
    readonly crashes?: readonly crashTypes.CrashReport[];
}

/**
 * Checks whether reports contain anything.
 *
 * @param reports - the reports
 * @returns true if there are none
 */
export const isEmpty = ({ limits, leaving, crashes = [] }: TargetReports): boolean =>
    limits.length + leaving.length + crashes.length === 0;

/** Notifications by method. */
export interface PeerMessages {
    /** A VM joins, or its own record has changed. */
    readonly "peer.hello": Introduction & { readonly peer: routes.Peer };
    /** A follower reports to its hub a VM that has connected to it, as that VM may precede the hub in the order. */
    readonly "peer.met": { readonly peer: routes.Peer };
    /** Heartbeat of a follower, with the lookups since the last one; VMs of earlier versions do not count them. */
    readonly "peer.beat": { readonly lookups?: clientZones.LookupCounts };
    /** Heartbeat of a hub: how outdated its view of the store is, and which VMs have joined, changed or left. */
    readonly "hub.beat": HubHeartbeat;
    readonly "state.snapshots": { readonly snapshots: readonly routes.StateSnapshot[] };
    readonly "state.update": routes.StateUpdate;
    /** An update with a new configuration, for VMs that accept differences. */
    readonly "state.difference": configurationPush.StateDifference;
    /** A follower that cannot apply a difference asks its hub for the whole configuration. */
    readonly "state.request": Readonly<Record<string, never>>;
    /** What targets have said about themselves: changes, or all that is known to a VM that joins. */
    readonly "target.reports": TargetReports;
}

export type PeerMethod = keyof PeerMessages;

export interface PeerChannel extends shared.Disposable {
    send<M extends PeerMethod>(method: M, params: PeerMessages[M]): void;
    /** Sends a message that is serialised and compressed once for all VMs that get it. */
    sendMessage(message: peerMessages.PeerMessage): void;
    /** Records what the other side accepts; undefined if a message does not say so. */
    setFeatures(features: readonly peerMessages.PeerFeature[] | undefined): void;
    /** Whether the other side accepts something. */
    hasFeature(feature: peerMessages.PeerFeature): boolean;
    on<M extends PeerMethod>(method: M, handler: (params: PeerMessages[M]) => void): void;
    /** Local monotonic time of the last message. */
    getLastSeenAtMs(): number;
}

/**
 * Creates a message for several VMs.
 *
 * @param method - the notification's method
 * @param params - its parameters
 * @returns the message
 */
export const createMessage = <M extends PeerMethod>(method: M, params: PeerMessages[M]): peerMessages.PeerMessage =>
    peerMessages.createMessage(method, params);

/**
 * Wraps a connection to a peer.
 *
 * @param options - the socket, the clock and the callback for the end of the connection
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
        errorListener: message => logger.warn("peer: failed to handle a message", { message }),
    });
    let lastSeenAtMs = clock.now();
    /** Parts of a line whose end has not arrived yet; joined once, as a snapshot arrives in many. */
    let incompleteLine: string[] = [];
    let incompleteBytes = 0;
    let isClosed = false;
    let accepted: readonly peerMessages.PeerFeature[] = [];

    const close = (): void => {
        if (!isClosed) {
            isClosed = true;
            socket.destroy();
            options.onClose();
        }
    };

    const receiveLine = (line: string): void => {
        lastSeenAtMs = clock.now();
        try {
            // JSON-RPC notifications have no response, so the result is not sent back.
            void server.receive(peerMessages.parseLine(line, maxLineBytes) as jsonRpc.JSONRPCRequest);
        } catch (error) {
            logger.warn("peer: malformed message ignored", { reason: errorText.toErrorText(error) });
        }
    };

    const sendMessage = (message: peerMessages.PeerMessage): void => {
        if (isClosed) {
            return;
        }
        if (socket.writableLength > maxSendBufferBytes) {
            logger.warn("peer: send buffer is full, closing the connection", { bytes: socket.writableLength });
            close();
            return;
        }
        socket.write(`${accepted.includes("deflate") ? message.getDeflatedText() : message.getText()}\n`);
    };

    socket.setEncoding("utf8");
    socket.setNoDelay(true);
    socket.on("data", chunk => {
        const [first = "", ...others] = String(chunk).split("\n");
        incompleteLine.push(first);
        incompleteBytes += first.length;
        const rest = others.pop();
        if (rest !== undefined) {
            const lines = [incompleteLine.join(""), ...others];
            incompleteLine = [rest];
            incompleteBytes = rest.length;
            lines.forEach(receiveLine);
        }
        if (incompleteBytes > maxLineBytes) {
            logger.warn("peer: message exceeds the size limit, closing the connection", { bytes: incompleteBytes });
            close();
        }
    });
    socket.on("error", error => logger.debug("peer: connection failed", { reason: error.message }));
    socket.on("end", close);
    socket.on("close", close);

    return {
        send: (method, params) => sendMessage(createMessage(method, params)),
        sendMessage,
        setFeatures: features => {
            accepted = features ?? accepted;
        },
        hasFeature: feature => accepted.includes(feature),
        // Peers run the same program, so messages are not validated against their type.
        on: <M extends PeerMethod>(method: M, handler: (params: PeerMessages[M]) => void) =>
            server.addMethod(method, (params: unknown) => handler(params as PeerMessages[M])),
        getLastSeenAtMs: () => lastSeenAtMs,
        dispose: close,
    };
};
