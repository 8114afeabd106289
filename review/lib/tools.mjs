/** Time, free ports and the record of a run. */
import * as fs from "node:fs";
import * as net from "node:net";

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** An error of the script itself must not look like a broken rule. */
const failToRun = error => {
    process.stderr.write(`${error?.stack ?? error}\n`);
    process.exit(2);
};
process.once("uncaughtException", failToRun);
process.once("unhandledRejection", failToRun);
process.once("SIGTERM", () => process.exit(2));
process.once("SIGINT", () => process.exit(2));

export const isTroubled = process.env.TROUBLE !== "0";

/** Finds free ports on loopback. */
export const findPorts = async count => {
    const servers = Array.from({ length: count }, () => net.createServer());
    const ports = [];
    for (const server of servers) {
        await new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, "127.0.0.1", resolve);
        });
        ports.push(server.address().port);
    }
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};

/** Creates the record of a run, which is written when the run ends. */
export const createRecord = path => {
    const startedAtMs = performance.now();
    const lines = [];
    return {
        add: text => void lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${text}`),
        save: () => fs.writeFileSync(path, `${lines.join("\n")}\n`),
    };
};
