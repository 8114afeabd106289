/** Stand-in for the platform's store: rows in tables, reads, a feed of changes and transactions. */
import * as http from "node:http";
import { sleep } from "./tools.mjs";

const feedPollMs = 5;

export const startStore = async () => {
    const rows = new Map();
    const startedAtMs = performance.now();
    let version = 1;

    const toKey = (table, key) => `${table}\n${key}`;
    const listRows = table => [...rows.values()].filter(row => row.Table === table);
    const send = (response, status, body) => {
        const now = `${Math.round(performance.now() - startedAtMs)}ms`;
        const text = JSON.stringify({ ...body, Ver: version, Now: now });
        response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
        response.end(text);
    };
    const put = (table, key, text) => {
        const row = { Table: table, part: "", Key: key, Value: Buffer.from(text).toString("base64"), Ver: ++version };
        rows.set(toKey(table, key), row);
    };
    const remove = (table, key) => {
        rows.set(toKey(table, key), { Table: table, part: "", Key: key, Ver: ++version, Tombstone: true });
    };

    const handleGet = (query, response) => {
        const from = query.get("From") ?? "";
        const until = query.get("Target");
        const limit = Math.min(500, Number(query.get("Limit") ?? 500));
        const found = listRows(query.get("Table"))
            .filter(row => row.Tombstone !== true && row.Key >= from && (until === null || row.Key < until))
            .sort((left, right) => (left.Key < right.Key ? -1 : 1));
        send(response, 200, { Rows: found.slice(0, limit), HasMore: found.length > limit });
    };
    const handleFeed = async (query, response) => {
        const after = Number(query.get("after"));
        const untilMs = performance.now() + Math.min(30_000, Number(query.get("WaitMs") ?? 0));
        const findChanges = () => listRows(query.get("Table")).filter(row => row.Ver > after);
        while (findChanges().length === 0 && performance.now() < untilMs && !response.destroyed) {
            await sleep(feedPollMs);
        }
        send(response, 200, { Rows: findChanges().sort((left, right) => left.Ver - right.Ver) });
    };
    const handleTransaction = (body, response) => {
        const { Precondition = [], Puts = [], Remove = [] } = JSON.parse(body || "{}");
        const current = Precondition.map(({ Table, Key }) => rows.get(toKey(Table, Key)));
        const getVersion = row => (row === undefined || row.Tombstone === true ? 0 : row.Ver);
        if (Precondition.some(({ Ver }, index) => Ver !== getVersion(current[index]))) {
            send(response, 412, { Rows: current.filter(row => row !== undefined) });
            return;
        }
        const isForbidden = ({ Table }) => Table === "op" || Table === "servers";
        if (Puts.some(isForbidden) || Remove.some(isForbidden)) {
            send(response, 403, {});
            return;
        }
        Puts.forEach(({ Table, Key, Value }) => put(Table, Key, Buffer.from(Value, "base64").toString()));
        Remove.forEach(({ Table, Key }) => remove(Table, Key));
        send(response, 200, {});
    };

    const server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => undefined);
        request.on("end", () => {
            const url = new URL(request.url, "http://store");
            if (url.pathname === "/-/rows-get") {
                handleGet(url.searchParams, response);
            } else if (url.pathname === "/-/rows-feed") {
                void handleFeed(url.searchParams, response);
            } else if (url.pathname === "/-/rows-tx") {
                handleTransaction(Buffer.concat(chunks).toString(), response);
            } else {
                send(response, 404, {});
            }
        });
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        put: (table, key, value) => put(table, key, JSON.stringify(value)),
        remove,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
