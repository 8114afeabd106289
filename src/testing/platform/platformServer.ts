/**
 * HTTP server that stands in for the platform's table service, object store and list of VMs.
 */
import type * as http from "node:http";
import * as platform from "../../node/platform/Types.js";
import * as httpServer from "../http/httpServer.js";
import * as memoryPlatform from "../memoryPlatform.js";
import * as types from "./Types.js";

export interface PlatformServer extends httpServer.RunningServer {
    readonly memory: memoryPlatform.MemoryPlatform;
    setFaults(change: types.PlatformFaultChange): void;
    setVm(vm: platform.ListedVm): void;
    removeVm(vm: string): void;
}

interface VmListSnapshot {
    readonly atMs: number;
    readonly vms: readonly platform.ListedVm[];
}

const noFaults: types.PlatformFaults = { latencyMs: 0, table: "none", objects: "none", vms: "none", listLagMs: 0 };

/** Older lists are dropped, which also limits the lag. */
const listRetentionMs = 600_000;

interface VmListHistory {
    set(vm: platform.ListedVm): void;
    remove(vm: string): void;
    list(lagMs: number): readonly platform.ListedVm[];
}

const createVmListHistory = (): VmListHistory => {
    const vms = new Map<string, platform.ListedVm>();
    let lists: VmListSnapshot[] = [{ atMs: -Infinity, vms: [] }];
    const recordList = (): void => {
        const nowMs = httpServer.readMachineClockMs();
        lists = lists.filter((list, index) => index === lists.length - 1 || list.atMs > nowMs - listRetentionMs);
        lists.push({ atMs: nowMs, vms: [...vms.values()] });
    };
    return {
        set: vm => {
            vms.set(vm.vm, vm);
            recordList();
        },
        remove: vm => {
            vms.delete(vm);
            recordList();
        },
        list: lagMs => {
            const atMs = httpServer.readMachineClockMs() - lagMs;
            return lists.findLast(list => list.atMs <= atMs)?.vms ?? [];
        },
    };
};

const sendUnavailable = (response: http.ServerResponse): void =>
    httpServer.sendJson(response, 503, { kind: "unavailable", cause: "outage" });

const sendRow = (request: http.IncomingMessage, response: http.ServerResponse, result: platform.ReadResult): void => {
    switch (result.kind) {
        case "found": {
            const tag = `"${result.row.version}"`;
            response.setHeader("etag", tag);
            if (request.headers["if-none-match"] === tag) {
                response.writeHead(304).end();
                return;
            }
            httpServer.sendJson(response, 200, result.row);
            return;
        }
        case "absent":
            httpServer.sendJson(response, 404, { kind: "absent" });
            return;
        case "unavailable":
            sendUnavailable(response);
            return;
    }
};

const sendTransactResult = (response: http.ServerResponse, result: platform.TransactResult): void => {
    switch (result.kind) {
        case "committed":
            httpServer.sendJson(response, 200, result);
            return;
        case "conflict":
            httpServer.sendJson(response, 409, result);
            return;
        case "unavailable":
            sendUnavailable(response);
            return;
        case "unknown":
            // The client sees a lost response as a reset connection.
            response.socket?.resetAndDestroy();
            return;
    }
};

const applyFaults = (
    memory: memoryPlatform.MemoryPlatform,
    faults: types.PlatformFaults,
    change: types.PlatformFaultChange,
): types.PlatformFaults => {
    const { loseAnswers = 0, loseRequests = 0, ...rest } = change;
    const next = { ...faults, ...rest };
    memory.setTableDown(next.table === "refuse");
    memory.setObjectsDown(next.objects === "refuse");
    memory.addTransactFaults(...new Array<memoryPlatform.TransactFault>(loseRequests).fill("loseRequest"));
    memory.addTransactFaults(...new Array<memoryPlatform.TransactFault>(loseAnswers).fill("loseAnswer"));
    return next;
};

/**
 * Starts the stand-in for the platform.
 *
 * @param listen - `ip:port`; port 0 selects a free port
 * @returns the running server
 */
export const startPlatformServer = async (listen = "127.0.0.1:0"): Promise<PlatformServer> => {
    const memory = memoryPlatform.createMemoryPlatform();
    const lists = createVmListHistory();
    let faults = noFaults;

    const setFaults = (change: types.PlatformFaultChange): void => {
        faults = applyFaults(memory, faults, change);
    };

    const handleTable = async (request: http.IncomingMessage, response: http.ServerResponse, url: URL) => {
        const body =
            request.method === "POST"
                ? await httpServer.readJson<{ conditions?: platform.Condition[]; writes?: platform.Write[] }>(request)
                : {};
        if (faults.table === "hang") {
            return;
        }
        if (url.pathname === "/transact") {
            sendTransactResult(response, await memory.table.transact(body.conditions ?? [], body.writes ?? []));
            return;
        }
        if (url.pathname === "/rows") {
            const result = await memory.table.scan(url.searchParams.get("prefix") ?? "");
            if (result.kind === "unavailable") {
                sendUnavailable(response);
                return;
            }
            httpServer.sendJson(response, 200, { rows: result.rows });
            return;
        }
        const key = decodeURIComponent(url.pathname.slice("/rows/".length));
        sendRow(request, response, await memory.table.read(key));
    };

    const handleObjects = async (request: http.IncomingMessage, response: http.ServerResponse, url: URL) => {
        const name = decodeURIComponent(url.pathname.slice("/objects/".length));
        const body = request.method === "PUT" ? await httpServer.readBody(request) : undefined;
        if (faults.objects === "hang") {
            return;
        }
        if (body !== undefined) {
            const stored = await memory.objects.put(name, body.toString("utf8"));
            httpServer.sendJson(response, stored.kind === "stored" ? 200 : 503, stored);
            return;
        }
        const result = await memory.objects.get(name);
        switch (result.kind) {
            case "found":
                response.writeHead(200, { "content-type": "text/plain; charset=utf-8" }).end(result.content);
                return;
            case "absent":
                httpServer.sendJson(response, 404, result);
                return;
            case "unavailable":
                sendUnavailable(response);
                return;
        }
    };

    const handleVms = async (request: http.IncomingMessage, response: http.ServerResponse, url: URL) => {
        const vm = decodeURIComponent(url.pathname.slice("/vms/".length));
        if (request.method === "PUT") {
            lists.set(await httpServer.readJson<platform.ListedVm>(request));
            httpServer.sendJson(response, 200, { ok: true });
            return;
        }
        if (request.method === "DELETE") {
            lists.remove(vm);
            httpServer.sendJson(response, 200, { ok: true });
            return;
        }
        if (faults.vms === "hang") {
            return;
        }
        if (faults.vms === "refuse") {
            sendUnavailable(response);
            return;
        }
        const role = url.searchParams.get("role");
        const state = url.searchParams.get("state");
        const listed = lists
            .list(faults.listLagMs)
            .filter(vm => (role === null || vm.role === role) && (state === null || vm.state === state));
        httpServer.sendJson(response, 200, { vms: listed });
    };

    const handle = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const url = new URL(request.url ?? "/", "http://platform");
        if (url.pathname === "/faults") {
            setFaults(await httpServer.readJson<types.PlatformFaultChange>(request));
            httpServer.sendJson(response, 200, faults);
            return;
        }
        if (url.pathname === "/counts") {
            httpServer.sendJson(response, 200, memory.counts);
            return;
        }
        if (faults.latencyMs > 0) {
            await httpServer.waitMs(faults.latencyMs);
        }
        if (url.pathname === "/transact" || url.pathname === "/rows" || url.pathname.startsWith("/rows/")) {
            await handleTable(request, response, url);
            return;
        }
        if (url.pathname.startsWith("/objects/")) {
            await handleObjects(request, response, url);
            return;
        }
        if (url.pathname === "/vms" || url.pathname.startsWith("/vms/")) {
            await handleVms(request, response, url);
            return;
        }
        httpServer.sendJson(response, 404, { kind: "absent" });
    };

    const server = await httpServer.startHttpServer(handle, { listen });
    return { ...server, memory, setFaults, setVm: vm => lists.set(vm), removeVm: vm => lists.remove(vm) };
};
