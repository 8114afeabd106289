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
    | { readonly kind: "cut" };

export interface Relay {
    readonly address: common.Address;
    readonly url: string;
    readonly setState: (state: LinkState) => void;
    readonly countBytes: () => number;
    readonly close: () => Promise<void>;
}

interface HeldAction {
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
    const { host, port } = ids.splitAddress(target);
    const sockets = new Set<net.Socket>();
    let state: LinkState = { kind: "pass" };
    let heldActions: HeldAction[] = [];
    let bytes = 0;

    /** Runs actions in the order of the calls, once the link state permits it. */
    const scheduleDelivery = (action: () => void, isTowardTarget: boolean): void => {
        switch (state.kind) {
            case "pass":
                action();
                return;
            case "delay":
                setTimeout(action, state.delayMs);
                return;
            case "one-way":
                if (isTowardTarget) {
                    action();
                } else {
                    heldActions.push({ action, isTowardTarget });
                }
                return;
            case "freeze":
                heldActions.push({ action, isTowardTarget });
                return;
            case "cut":
                return;
        }
    };

    const addPipe = (from: net.Socket, to: net.Socket, isTowardTarget: boolean): void => {
        from.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            from.pause();
            scheduleDelivery(() => {
                const canContinue = to.write(chunk);
                if (canContinue) {
                    from.resume();
                } else {
                    to.once("drain", () => from.resume());
                }
            }, isTowardTarget);
        });
        from.on("end", () => scheduleDelivery(() => to.end(), isTowardTarget));
        from.on("error", () => to.destroy());
        from.on("close", () => {
            sockets.delete(from);
            scheduleDelivery(() => to.destroy(), isTowardTarget);
        });
        sockets.add(from);
    };

    const server = net.createServer({ allowHalfOpen: true, noDelay: true }, clientSocket => {
        if (state.kind === "cut") {
            clientSocket.resetAndDestroy();
            return;
        }
        const targetSocket = net.connect({ host, port, allowHalfOpen: true, noDelay: true });
        addPipe(clientSocket, targetSocket, true);
        addPipe(targetSocket, clientSocket, false);
    });
    const address = await httpServer.waitForListening(server, "127.0.0.1:0");

    const setState = (next: LinkState): void => {
        state = next;
        if (next.kind === "freeze") {
            return;
        }
        const actions = heldActions;
        heldActions = [];
        if (next.kind === "cut") {
            sockets.forEach(closeWithReset);
            return;
        }
        actions.forEach(({ action, isTowardTarget }) => scheduleDelivery(action, isTowardTarget));
    };

    return {
        address,
        url: `http://${address}`,
        setState,
        countBytes: () => bytes,
        close: () =>
            new Promise(resolve => {
                setState({ kind: "cut" });
                server.close(() => resolve());
            }),
    };
};
