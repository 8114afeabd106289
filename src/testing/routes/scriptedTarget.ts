/**
 * A target whose connections a test scripts byte by byte, and a pool of connections to it.
 */
import * as net from "node:net";
import * as shared from "../../common/Types.js";
import * as connectionPool from "../../node/routes/connectionPool.js";
import * as httpServer from "../http/httpServer.js";
import * as fixture from "./fixture.js";

export interface ScriptedTarget {
    readonly address: shared.Address;
    readonly pool: connectionPool.ConnectionPool;
    countOpen(): number;
    /** Closes the target and all connections to it. */
    close(): void;
}

/**
 * Starts a target on loopback.
 *
 * @param scheduler - clock of the pool
 * @param handleConnection - called with each connection that the target accepts
 * @returns the running target
 */
export const startScriptedTarget = async (
    scheduler: shared.Scheduler,
    handleConnection: (socket: net.Socket) => void,
): Promise<ScriptedTarget> => {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        handleConnection(socket);
    });
    const address: shared.Address = await httpServer.waitForListening(server, "127.0.0.1:0");
    const pool = connectionPool.createConnectionPool({ scheduler, dialect: fixture.testDialect });
    return {
        address,
        pool,
        countOpen: () => sockets.size,
        close: () => {
            pool.dispose();
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
};
