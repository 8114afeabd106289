/**
 * TCP relay that stands for a network link with faults.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as common from "../../common/Types.js";
import * as httpServer from "../http/httpServer.js";

export type LinkState =
    | { readonly kind: "pass" }
    /** Adds a delay in each direction. */
    | { readonly kind: "delay"; readonly delayMs: number }
    /** Keeps connections open, but nothing passes; what was held passes later. */
    | { readonly kind: "freeze" }
    /** What the inner side sends passes; what comes back is held and passes later. */
    | { readonly kind: "one-way" }
    /** Resets all connections, and new ones at once. */
    | { readonly kind: "cut" };

export interface Relay {
    readonly address: common.Address;
    readonly url: string;
    readonly setState: (state: LinkState) => void;
    readonly countBytes: () => number;
    readonly close: () => Promise<void>;
}

interface HeldAction {
    readonly isInward: boolean;
    action(): void;
}

/** A reset while the end of the stream is being sent fails in libuv, and the open handle keeps the process running. */
const closeAtOnce = (socket: net.Socket): void => {
    if (socket.writableEnded) {
        socket.destroy();
    } else {
        socket.resetAndDestroy();
    }
};

/**
 * Starts a relay.
 *
 * @param target - `ip:port` behind the relay
 * @returns the relay
 */
export const startRelay = async (target: string): Promise<Relay> => {
    const { host, port } = ids.splitAddress(target);
    const sockets = new Set<net.Socket>();
    let state: LinkState = { kind: "pass" };
    let held: HeldAction[] = [];
    let bytes = 0;

    /** Runs an action in the order of the calls, when the link lets it pass. */
    const schedulePass = (action: () => void, isInward: boolean): void => {
        switch (state.kind) {
            case "pass":
                action();
                return;
            case "delay":
                setTimeout(action, state.delayMs);
                return;
            case "one-way":
                if (isInward) {
                    action();
                } else {
                    held.push({ action, isInward });
                }
                return;
            case "freeze":
                held.push({ action, isInward });
                return;
            case "cut":
                return;
        }
    };

    const addPipe = (from: net.Socket, to: net.Socket, isInward: boolean): void => {
        from.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            from.pause();
            schedulePass(() => {
                const canContinue = to.write(chunk);
                if (canContinue) {
                    from.resume();
                } else {
                    to.once("drain", () => from.resume());
                }
            }, isInward);
        });
        from.on("end", () => schedulePass(() => to.end(), isInward));
        from.on("error", () => to.destroy());
        from.on("close", () => {
            sockets.delete(from);
            schedulePass(() => to.destroy(), isInward);
        });
        sockets.add(from);
    };

    const server = net.createServer({ allowHalfOpen: true, noDelay: true }, inner => {
        if (state.kind === "cut") {
            inner.resetAndDestroy();
            return;
        }
        const outer = net.connect({ host, port, allowHalfOpen: true, noDelay: true });
        addPipe(inner, outer, true);
        addPipe(outer, inner, false);
    });
    const address = await httpServer.waitForListening(server, "127.0.0.1:0");

    const setState = (next: LinkState): void => {
        state = next;
        if (next.kind === "freeze") {
            return;
        }
        const actions = held;
        held = [];
        if (next.kind === "cut") {
            sockets.forEach(closeAtOnce);
            return;
        }
        actions.forEach(({ action, isInward }) => schedulePass(action, isInward));
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
