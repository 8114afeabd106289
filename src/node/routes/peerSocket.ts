/**
 * Opens connections to other entry VMs.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";

const connectTimeoutMs = 250;

export type ConnectResult =
    | { readonly kind: "open"; readonly socket: net.Socket }
    /** The machine did not respond. */
    | { readonly kind: "silent" }
    /** The machine is up, but nothing listens on the port. */
    | { readonly kind: "refused" };

/**
 * Opens a connection.
 *
 * @param scheduler - timers
 * @param address - address of the other VM for its peers
 * @returns the connection, or why there is none
 */
export const openSocket = (scheduler: shared.Scheduler, address: shared.Address): Promise<ConnectResult> =>
    new Promise(resolve => {
        const { host, port } = ids.splitAddress(address);
        const socket = net.connect({ host, port });
        const timeout = scheduler.schedule(connectTimeoutMs, () => {
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
