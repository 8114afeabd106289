/** A relay between one machine and the store, which can reset the connections that are open. */
import * as net from "node:net";

export const startRelay = async address => {
    const [host, port] = address.split(":");
    const pairs = new Set();
    const server = net.createServer(socket => {
        const upstream = net.connect({ host, port: Number(port) });
        const pair = { socket, upstream };
        pairs.add(pair);
        const close = () => {
            pairs.delete(pair);
            socket.destroy();
            upstream.destroy();
        };
        for (const side of [socket, upstream]) {
            side.setNoDelay(true);
            side.on("error", () => undefined);
            side.on("close", close);
        }
        socket.pipe(upstream);
        upstream.pipe(socket);
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        countOpen: () => pairs.size,
        reset: () => [...pairs].forEach(({ socket }) => socket.resetAndDestroy()),
        close: () => {
            server.close();
            [...pairs].forEach(({ socket }) => socket.destroy());
        },
    };
};
