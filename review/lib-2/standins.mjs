/**
 * Stand-ins of the platform for the scripts of this review: the store, the targets, the settings and the start of a daemon
 * with the command of the deploy file.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as url from "node:url";
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";

const host = "127.0.0.1";
export const repository = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");
export const clientHost = "shop.example";

export const waitMs = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Below the ports from which outgoing connections usually take theirs. */
const firstPort = 15_000;
const portCount = 15_000;

const isFree = port =>
    new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/** Finds ports that are free now and that no outgoing connection takes before they are used. */
export const findFreePorts = async count => {
    const ports = [];
    for (let port = firstPort + Math.floor(Math.random() * portCount); ports.length < count; port++) {
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
};

/** Writes the record of a run, one line for each event. */
export const createRecord = directory => {
    const file = path.join(directory, "record.txt");
    const startedAtMs = performance.now();
    fs.writeFileSync(file, "");
    return text => {
        const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
        fs.appendFileSync(file, `${seconds} s  ${text}\n`);
    };
};

/** The platform's store: rows, pages and the feed of changes. It loses nothing and is always available. */
export const startStore = async () => {
    const rows = new Map();
    const sockets = new Set();
    let version = 1;
    let waiting = [];

    const listRows = table => [...rows.values()].filter(row => row.Table === table);
    const setRow = (table, key, row) => {
        rows.set(`${table}/${key}`, { Table: table, part: "", Key: key, ...row, Ver: ++version });
        const resolved = waiting;
        waiting = [];
        resolved.forEach(resolve => resolve());
    };
    const send = (response, body) => {
        response.writeHead(200, { "Content-Type": "application/json" });
        response.end(JSON.stringify(body));
    };
    const handleGet = (query, response) => {
        const found = listRows(query.get("Table"))
            .filter(row => row.Tombstone === undefined && row.Key >= (query.get("From") ?? ""))
            .sort((left, right) => (left.Key < right.Key ? -1 : 1));
        const limit = Math.min(500, Number(query.get("Limit") ?? 500));
        send(response, { Rows: found.slice(0, limit), HasMore: found.length > limit, Ver: version, Now: "1s" });
    };
    const handleFeed = async (query, response) => {
        const findChanges = () => listRows(query.get("Table")).filter(row => row.Ver > Number(query.get("after")));
        const untilMs = performance.now() + Number(query.get("WaitMs") ?? 0);
        while (findChanges().length === 0 && performance.now() < untilMs) {
            await new Promise(resolve => {
                const timer = setTimeout(resolve, untilMs - performance.now());
                waiting.push(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
        const changes = findChanges().sort((left, right) => left.Ver - right.Ver);
        send(response, { Rows: changes, Ver: version, Now: "1s" });
    };
    const server = http.createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const { pathname, searchParams } = new URL(request.url, "http://store");
            switch (pathname) {
                case "/-/rows-get":
                    handleGet(searchParams, response);
                    break;
                case "/-/rows-feed":
                    void handleFeed(searchParams, response);
                    break;
                case "/-/rows-tx":
                    for (const { Table, Key, Value } of JSON.parse(Buffer.concat(chunks).toString()).Puts ?? []) {
                        setRow(Table, Key, { Value });
                    }
                    send(response, { Ver: version, Now: "1s" });
                    break;
                default:
                    response.writeHead(404).end();
            }
        });
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        write: (table, key, value) =>
            setRow(table, key, { Value: Buffer.from(JSON.stringify(value)).toString("base64") }),
        remove: (table, key) => setRow(table, key, { Tombstone: true }),
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
};

/** Writes the operator's configuration. */
export const writeConfiguration = (store, { version, routes, services, tenants }) => {
    const toTable = (columns, list) => ({
        Columns: columns,
        Rows: list.map(entry => columns.map(column => entry[column] ?? null)),
    });
    const routeColumns = [
        "Name",
        "Host",
        "Prefix",
        "Service",
        "RouteType",
        "MaxAttempts",
        "Timeout",
        "LatencySlo",
        "Priority",
        "Public",
    ];
    store.write("op", "config", {
        Version: `r${version}`,
        Routes: toTable(
            routeColumns,
            routes.map(route => ({ Host: clientHost, ...route })),
        ),
        Services: toTable(["Name", "HealthPath", "WarmupPerS"], services),
        ...(tenants === undefined
            ? {}
            : { Tenants: toTable(["Name", "ApiKeys", "Priority", "RatePerS", "Burst"], tenants) }),
        Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeout: "5s", IdleTimeout: "15s" },
    });
};

/**
 * Starts a target with a row in the store. `respond` gets each request that the target runs, read whole; `refuse` may answer
 * one before.
 */
export const startTarget = async ({ store, id, service, zone = "zone-a", slots = 16, port = 0, respond }) => {
    const sockets = new Set();
    const server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
        if (request.url === "/health") {
            response.writeHead(200, { "Instance-Id": id, "Server-Load": `0,0,${slots}`, "Content-Length": 0 }).end();
            return;
        }
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const requestId = request.headers["request-id"];
            if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== id) {
                response.writeHead(421, { "Request-Id": requestId, "Not-Executed": "1", "Content-Length": 0 }).end();
                return;
            }
            respond({ id: requestId, request, response, body: Buffer.concat(chunks), socket: request.socket });
        });
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    const address = `${host}:${server.address().port}`;
    const born = Date.now();
    let sequence = 0;
    const beat = state =>
        store.write("servers", id, {
            Service: service,
            Address: address,
            Zone: zone,
            Version: "v1",
            MaxConcurrency: slots,
            State: state,
            WarmupLeft: "0ms",
            Sequence: ++sequence,
            born,
        });
    beat("ready");
    const timer = setInterval(() => beat("ready"), 1_500);
    const close = () => {
        clearInterval(timer);
        server.close();
        sockets.forEach(socket => socket.resetAndDestroy());
    };
    return { id, address, close };
};

/** Sends a GET request and reads the response as text. */
export const getText = (port, target) =>
    new Promise((resolve, reject) => {
        const request = http.get({ host, port, path: target, agent: false }, response => {
            let text = "";
            response.on("data", chunk => (text += chunk));
            response.on("end", () => resolve({ statusCode: response.statusCode, text }));
            response.on("error", reject);
        });
        request.on("error", reject);
    });

const readRunCommand = () => {
    const text = fs.readFileSync(path.join(repository, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
};

/** Starts daemons as the deploy file says; each gets its settings from a file in a temporary folder. */
export const createDaemons = async ({ store, count = 1, zones = ["zone-a"], record, bounds = {} }) => {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "tarragonpath-review-"));
    const ports = await findFreePorts(count * 6);
    const running = new Set();
    const seeds = [];
    const daemons = Array.from({ length: count }, (_, index) => {
        const [front, ready, control, lookup, first, last] = ports.slice(index * 6, index * 6 + 6);
        const name = `edge-${index + 1}`;
        if (seeds.length < 3) {
            seeds.push(`${host}:${control}`);
        }
        return { name, front, ready, control, lookup, first, last, zone: zones[index % zones.length] };
    });
    const formatSettings = daemon =>
        [
            `NodeName=${daemon.name}`,
            "Role=entry",
            "MachineClass=edge",
            "Serves=edge,control,directory",
            `Ip=${host}`,
            `Zone=${daemon.zone}`,
            "Region=region-a",
            ...zones.map(zone => `Zones.${zone}=region-a`),
            `Listen.Frontend=${host}:${daemon.front}`,
            `Listen.Readiness=${host}:${daemon.ready}`,
            `Listen.Control=${host}:${daemon.control}`,
            `Listen.Directory=${host}:${daemon.lookup}`,
            `InternalPorts=${daemon.first},${daemon.last}`,
            `SeedNodes=${seeds.join(",")}`,
            "Bootstrap=true",
            "Limits.CpuShare=0.54",
            "Limits.CpuCores=1",
            "Limits.MemoryMb=350",
            "Limits.MaxFds=4100",
            "Limits.LinkMbps=1000.0",
            "Discovery=platform",
            "Entry=directory",
            "Heartbeat=1500ms",
            "Contracts=base,drain,config,cost,retry,recover,health,places,platform",
            "Bounds.SeedLag=3s",
            "Bounds.AddrReuse=2s",
            "Bounds.Contact=3000ms",
            "Bounds.Ack=4000ms",
            "Bounds.CatchUp=4s",
            "Bounds.Drain=2000ms",
            "Bounds.Grace=6s",
            "Bounds.LossSlack=200ms",
            "Bounds.ConfigApply=2000ms",
            "Bounds.Regression=250ms",
            "Bounds.Outer=5000ms",
            "Bounds.RetryBudgetRatio=0.2",
            "Bounds.RetryWindow=10s",
            "Bounds.RetrySlack=56",
            "Bounds.WarmupOvershoot=1.5",
            "Bounds.WarmupSlack=5",
            "Bounds.Evacuate=5000ms",
            "Bounds.Recovery=15s",
            "Bounds.ttl_max=5s",
            "Bounds.ProbesPerS=60",
            `Platform.Address=${store.address}`,
            "Platform.form=table",
            "Platform.WritesPerS=400",
            "Platform.ReadsPerS=2000",
        ]
            .filter(line => !Object.keys(bounds).some(name => line.startsWith(`Bounds.${name}=`)))
            .concat(Object.entries(bounds).map(([name, value]) => `Bounds.${name}=${value}`))
            .join("\n");
    const start = daemon => {
        const settingsPath = path.join(directory, `${daemon.name}.conf`);
        fs.writeFileSync(settingsPath, `${formatSettings(daemon)}\n`);
        const [program, ...words] = readRunCommand();
        const { PATH, HOME, LANG } = process.env;
        const child = childProcess.spawn(program === "node" ? process.execPath : program, words, {
            cwd: repository,
            env: { PATH, HOME, LANG, TARRAGONPATH_CONFIG: settingsPath },
            stdio: ["ignore", fs.openSync(path.join(directory, `${daemon.name}.log`), "a"), "inherit"],
        });
        running.add(child);
        daemon.process = child;
        daemon.ended = new Promise(resolve =>
            child.once("exit", (code, signal) => {
                running.delete(child);
                record(`${daemon.name} ended: ${signal ?? `code ${code}`}`);
                resolve();
            }),
        );
        record(`${daemon.name} started`);
    };
    const isReady = async daemon => {
        try {
            return (await getText(daemon.ready, "/-/ready")).statusCode === 200;
        } catch {
            return false;
        }
    };
    const lookUp = async daemon => {
        try {
            const query = `Name=${clientHost}&Region=region-a&Zone=${daemon.zone}`;
            const reply = await getText(daemon.lookup, `/-/resolve?${query}`);
            return reply.statusCode === 200 ? JSON.parse(reply.text).Addresses : [];
        } catch {
            return [];
        }
    };
    /** Waits until a daemon is ready and its directory names one; returns the daemon that it names first. */
    const waitUntilServing = async daemon => {
        const giveUpAtMs = performance.now() + 15_000;
        while (performance.now() < giveUpAtMs) {
            const [address] = await lookUp(daemon);
            const named = daemons.find(({ front }) => address === `${host}:${front}`);
            if (named !== undefined && (await isReady(named)) && (await isReady(daemon))) {
                return named;
            }
            await waitMs(50);
        }
        throw new Error(`${daemon.name} does not become ready`);
    };
    const readLog = daemon => fs.readFileSync(path.join(directory, `${daemon.name}.log`), "utf8");
    const close = async () => {
        const ended = daemons.map(daemon => daemon.ended);
        running.forEach(child => child.kill("SIGKILL"));
        await Promise.all(ended);
        fs.rmSync(directory, { recursive: true, force: true });
    };
    return { daemons, start, waitUntilServing, readLog, close };
};

/** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (directory, play) => {
    const record = createRecord(directory);
    const isTroubled = !process.argv.includes("--without-disruption");
    record(isTroubled ? "with the disruption" : "without the disruption");
    const closers = [];
    let code = 2;
    try {
        const isBroken = await play({ record, isTroubled, onEnd: close => closers.unshift(close) });
        code = isBroken ? 1 : 0;
    } catch (error) {
        record(`could not run: ${error.stack}`);
    }
    for (const close of closers) {
        await Promise.resolve(close()).catch(error => record(`end: ${error.message}`));
    }
    record(`exit code ${code}`);
    process.exit(code);
};
