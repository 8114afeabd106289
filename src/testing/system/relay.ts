/**
 * TCP relay that simulates a network link with faults.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as common from "../../common/Types.js";
import * as httpServer from "../http/httpServer.js";

export type LinkState =
    | { readonly kind: "pass" }
    /** Delays data in each direction. */
    | { readonly kind: "delay"; readonly delayMs: number }
    /** Keeps connections open and holds data in both directions until the state changes. */
    | { readonly kind: "freeze" }
    /** Forwards data from clients; holds data from the target until the state changes. */
    | { readonly kind: "one-way" }
    /** Resets all connections, including new ones. */
    | { readonly kind: "cut" }
    /** Resets new connections; open ones live on. */
    | { readonly kind: "refuse" };

export interface Relay {
    readonly address: common.Address;
    readonly url: string;
    readonly setState: (state: LinkState) => void;
    /** Relays new connections to another `ip:port`. */
    readonly setTarget: (target: string) => void;
    /** Sets the state for the connections from one host; undefined lets the common state apply to them again. */
    readonly setStateOf: (host: string, state: LinkState | undefined) => void;
    /** Without a listener, new connections are refused; the state of the open ones does not change. */
    readonly setListening: (isListening: boolean) => void;
    readonly countBytes: () => number;
    readonly close: () => Promise<void>;
}

const loopbackHost = "127.0.0.1";

interface HeldAction {
    readonly host: string;
    readonly isTowardTarget: boolean;
    action(): void;
}

/** A reset while the end of the stream is being sent fails in libuv, and the open handle keeps the process alive. */
const closeWithReset = (socket: net.Socket): void => {
    if (socket.writableEnded) {
        socket.destroy();
    } else {
        socket.resetAndDestroy();
    }
};

/**
 * Starts a relay.
 *
 * @param target - `ip:port` to which connections are relayed
 * @returns the relay
 */
export const startRelay = async (target: string): Promise<Relay> => {
    let { host, port } = ids.splitAddress(target);
    /** The sockets of all connections, by the host that they come from. */
    const sockets = new Map<net.Socket, string>();
    let commonState: LinkState = { kind: "pass" };
    const hostStates = new Map<string, LinkState>();
    let heldActions: HeldAction[] = [];
    let bytes = 0;

    const getState = (host: string): LinkState => hostStates.get(host) ?? commonState;

    /** Runs actions in the order of the calls, once the link state permits it. */
    const scheduleDelivery = (held: HeldAction): void => {
        const { action, isTowardTarget } = held;
        const state = getState(held.host);
        switch (state.kind) {
            case "pass":
            case "refuse":
                action();
                return;
            case "delay":
                setTimeout(action, state.delayMs);
                return;
            case "one-way":
                if (isTowardTarget) {
                    action();
                } else {
                    heldActions.push(held);
                }
                return;
            case "freeze":
                heldActions.push(held);
                return;
            case "cut":
                return;
        }
    };

    const addPipe = (from: net.Socket, to: net.Socket, host: string, isTowardTarget: boolean): void => {
        const deliver = (action: () => void): void => scheduleDelivery({ host, action, isTowardTarget });
        from.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            from.pause();
            deliver(() => {
                const canContinue = to.write(chunk);
                if (canContinue) {
                    from.resume();
                } else {
                    to.once("drain", () => from.resume());
                }
            });
        });
        from.on("end", () => deliver(() => to.end()));
        from.on("error", () => to.destroy());
        from.on("close", () => {
            sockets.delete(from);
            deliver(() => to.destroy());
        });
        sockets.set(from, host);
    };

    const server = net.createServer({ allowHalfOpen: true, noDelay: true }, clientSocket => {
        const clientHost = clientSocket.remoteAddress ?? "";
        const { kind } = getState(clientHost);
        if (kind === "cut" || kind === "refuse") {
            clientSocket.resetAndDestroy();
            return;
        }
        // The target sees where the connection comes from.
        const localAddress = host === loopbackHost && clientHost.startsWith("127.") ? clientHost : undefined;
        const targetSocket = net.connect({
            ...{ host, port, allowHalfOpen: true, noDelay: true },
            ...(localAddress === undefined ? {} : { localAddress }),
        });
        addPipe(clientSocket, targetSocket, clientHost, true);
        addPipe(targetSocket, clientSocket, clientHost, false);
    });
    const address = await httpServer.waitForListening(server, "127.0.0.1:0");

    const applyStates = (): void => {
        for (const [socket, host] of sockets) {
            if (getState(host).kind === "cut") {
                closeWithReset(socket);
            }
        }
        const actions = heldActions;
        heldActions = [];
        actions.forEach(scheduleDelivery);
    };

    const setState = (next: LinkState): void => {
        commonState = next;
        applyStates();
    };

    const setStateOf = (host: string, next: LinkState | undefined): void => {
        if (next === undefined) {
            hostStates.delete(host);
        } else {
            hostStates.set(host, next);
        }
        applyStates();
    };

    return {
        address,
        url: `http://${address}`,
        setState,
        setTarget: next => {
            ({ host, port } = ids.splitAddress(next));
        },
        setStateOf,
        setListening: isListening => {
            if (isListening && !server.listening) {
                server.listen(ids.splitAddress(address));
            } else if (!isListening && server.listening) {
                server.close();
            }
        },
        countBytes: () => bytes,
        close: () =>
            new Promise(resolve => {
                hostStates.clear();
                setState({ kind: "cut" });
                // An error only says that the relay did not listen.
                server.close(() => resolve());
            }),
    };
};
