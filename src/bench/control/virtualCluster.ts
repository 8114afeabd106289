/**
 * Cluster of entry VMs in one process and in virtual time, with the real controllers on a simulated network.
 */
import * as crypto from "node:crypto";
import * as blackboards from "../../common/blackboard/blackboard.js";
import * as blackboardTypes from "../../common/blackboard/Types.js";
import * as config from "../../common/config/Types.js";
import * as events from "../../common/events.js";
import * as freshness from "../../common/freshness/freshness.js";
import * as ids from "../../common/ids.js";
import * as membership from "../../common/membership/Types.js";
import * as randoms from "../../common/random.js";
import * as types from "../../common/Types.js";
import * as configurationTypes from "../../node/configuration/Types.js";
import * as configurationController from "../../node/configuration/configurationController.js";
import * as gossip from "../../node/peers/gossip.js";
import * as rpcServer from "../../node/peers/rpcServer.js";
import * as peers from "../../node/peers/Types.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";

export interface VirtualNode {
    readonly blackboard: blackboardTypes.Blackboard;
    readonly configuration: configurationTypes.ConfigurationController;
    readonly server: peers.RpcServer;
    readonly writeLifecycle: (value: blackboardTypes.LifecycleState) => void;
    /** Cell loads and crash counts that the node reports. */
    loads: readonly membership.CellLoad[];
    readonly crashes: Map<string, number>;
}

export interface TrafficCounts {
    requests: number;
    requestBytes: number;
    responseBytes: number;
}

export interface VirtualCluster {
    readonly platform: memoryPlatform.MemoryPlatform;
    readonly scheduler: virtualScheduler.VirtualScheduler;
    readonly nodes: Map<number, VirtualNode>;
    /** Number of requests between nodes, and bytes of all bodies without HTTP headers. */
    readonly traffic: TrafficCounts;
    /** Starts a node, or a new incarnation of a stopped node. */
    start(index: number): VirtualNode;
    /** Stops a node without notifying its peers. */
    stop(index: number): void;
    /** Disconnects a node from its peers and from the table service, or reconnects it. */
    setIsolated(index: number, isIsolated: boolean): void;
    /** Suspends a node's timers and message delivery, or resumes them. */
    setPaused(index: number, isPaused: boolean): void;
    /** Commits the next revision with the given section texts, without announcing it. */
    commit(texts: Readonly<Record<string, string>>): Promise<config.ConfigHead>;
    isFresh(index: number): boolean;
    dispose(): void;
}

export interface ClusterOptions {
    readonly size: number;
    readonly seed: number;
    readonly logger?: types.Logger;
}

export const clusterSettings = { freshnessMs: 3000, headPollMs: 1000, gossipIntervalMs: 1000, memberTimeoutMs: 5000 };

/** One-way message delays are uniformly distributed over this range, similar to links between zones. */
const minDelayMs = 1;
const delayRangeMs = 8;

const zoneNames = ["a", "b", "c"];
const targetZones = ["a", "b", "c", "d", "e", "f"];

const toControlAddress = (index: number): types.Address => ids.toAddress(`127.0.0.1:${20_000 + index}`);

const createService = (name: string): config.ServiceSection => ({
    kind: "service",
    service: ids.toServiceName(name),
    deadlineMs: 1000,
    connections: 10,
    queueLimit: 10,
    maxBodyBytes: 1000,
    ownersPerZone: 1,
    idempotent: [],
    nonIdempotent: [],
    targets: targetZones.map(zone => ({
        id: ids.toTargetId(`${name}-${zone}`),
        address: ids.toAddress("127.0.0.1:1"),
        zone: ids.toZoneName(zone),
        vm: ids.toVmId(`target-${name}-${zone}`),
        slots: 4,
        coldSlots: 1,
        out: false,
    })),
});

/** Accepts any text but "invalid". A section `service/<name>` becomes a service with a target in each of six zones. */
const assembleConfiguration: config.AssembleConfiguration = (head, texts) => {
    if ([...texts.values()].includes("invalid")) {
        return { kind: "invalid", faults: [{ where: "section", message: "is invalid" }] };
    }
    const digests = Object.entries(head.sections).map(([name, digest]) => [ids.toSectionName(name), digest] as const);
    const services = digests
        .filter(([name]) => name.startsWith("service/"))
        .map(([name]) => createService(name.slice("service/".length)))
        .map(service => [service.service, service] as const);
    const topology: config.TopologySection = { kind: "topology", zones: [], links: [], vmsOut: [] };
    return {
        kind: "valid",
        configuration: { revision: head.revision, digests: new Map(digests), topology, services: new Map(services) },
    };
};

/**
 * Creates a cluster and starts all its nodes.
 *
 * @param options - the number of nodes and the seed
 * @returns the cluster at virtual time 0
 */
export const createVirtualCluster = (options: ClusterOptions): VirtualCluster => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const platform = memoryPlatform.createMemoryPlatform();
    const random = randoms.createRandom(options.seed);
    const logger = options.logger ?? silentLogger.createSilentLogger();
    const nodes = new Map<number, VirtualNode>();
    const nodeStores = new Map<number, events.DisposableStore>();
    const isolated = new Set<number>();
    const paused = new Map<number, (() => void)[]>();
    const traffic: TrafficCounts = { requests: 0, requestBytes: 0, responseBytes: 0 };
    let incarnations = 0;

    const runUnlessPaused = (index: number, action: () => void): void => {
        const deferredActions = paused.get(index);
        if (deferredActions === undefined) {
            action();
        } else {
            deferredActions.push(action);
        }
    };

    const createNodeScheduler = (index: number): types.Scheduler => ({
        now: () => scheduler.now(),
        schedule: (delayMs, action) => {
            let isCancelled = false;
            const runAction = (): void => (isCancelled ? undefined : action());
            const timer = scheduler.schedule(delayMs, () => runUnlessPaused(index, runAction));
            return events.toDisposable(() => {
                isCancelled = true;
                timer.dispose();
            });
        },
    });

    const waitForLink = (index: number): Promise<void> =>
        new Promise(resolve => {
            const delayMs = minDelayMs + random.nextFloat() * delayRangeMs;
            scheduler.schedule(delayMs, () => runUnlessPaused(index, resolve));
        });

    const deliver = async (from: number, to: number, body: string): Promise<string | undefined> => {
        await waitForLink(to);
        const node = nodes.get(to);
        if (node === undefined || isolated.has(from) || isolated.has(to)) {
            return undefined;
        }
        const response = await node.server.receive(body);
        traffic.requests++;
        traffic.requestBytes += body.length;
        traffic.responseBytes += response.length;
        await waitForLink(from);
        return response;
    };

    const createClient = (from: number, nodeScheduler: types.Scheduler): peers.RpcClient => ({
        call: (control, method, params, timeoutMs) =>
            new Promise(resolve => {
                const fail = (): void => resolve({ kind: "failed", cause: "timeout" });
                nodeScheduler.schedule(timeoutMs, fail);
                const body = JSON.stringify({ jsonrpc: "2.0", id: 1, method, params });
                const to = Number(control.split(":")[1]) - 20_000;
                void deliver(from, to, body).then(text => {
                    const response = text === undefined ? undefined : (JSON.parse(text) as { result?: unknown });
                    if (response?.result !== undefined) {
                        resolve({ kind: "answered", result: response.result as never });
                    } else if (response !== undefined) {
                        fail();
                    }
                });
            }),
        close: () => Promise.resolve(),
    });

    const start = (index: number): VirtualNode => {
        const store = events.createDisposableStore();
        const nodeScheduler = createNodeScheduler(index);
        const zone = ids.toZoneName(zoneNames[index % zoneNames.length] ?? "a");
        const blackboard = blackboards.createBlackboard({
            vm: ids.toVmId(`entry-${index}`),
            incarnation: ids.toIncarnationId(`entry-${index}.${++incarnations}.c0ffee`),
            zone,
            address: ids.toAddress(`127.0.0.1:${10_000 + index}`),
            control: toControlAddress(index),
        });
        const server = rpcServer.createRpcServer(logger);
        const rpcClient = createClient(index, nodeScheduler);
        const unavailable = { kind: "unavailable", cause: "isolated" } as const;
        const table: typeof platform.table = {
            ...platform.table,
            read: key => (isolated.has(index) ? Promise.resolve(unavailable) : platform.table.read(key)),
            readIfChanged: (key, version) =>
                isolated.has(index) ? Promise.resolve(unavailable) : platform.table.readIfChanged(key, version),
        };
        const shared = {
            blackboard,
            rpcClient,
            rpcServer: server,
            scheduler: nodeScheduler,
            settings: clusterSettings,
            logger,
        };
        const controller = configurationController.createConfigurationController({
            ...shared,
            table,
            objects: platform.objects,
            assembleConfiguration,
        });
        store.add(controller);
        const node: VirtualNode = {
            blackboard,
            configuration: controller,
            server,
            writeLifecycle: blackboard.lifecycle.takeWriter("cluster"),
            loads: [],
            crashes: new Map(),
        };
        store.add(
            gossip.createGossip({
                ...shared,
                vmList: platform.vms,
                random: randoms.createRandom(options.seed * 1000 + incarnations),
                configuration: controller,
                listCellLoads: () => node.loads,
                getKeyEpoch: () => 0,
                listCrashes: () => [...node.crashes].map(([fingerprint, count]) => ({ fingerprint, count })),
                applyCrash: (fingerprint, count) =>
                    node.crashes.set(fingerprint, Math.max(count, node.crashes.get(fingerprint) ?? 0)),
            }),
        );
        node.writeLifecycle("serving");
        nodes.set(index, node);
        nodeStores.set(index, store);
        return node;
    };

    const stop = (index: number): void => {
        nodeStores.get(index)?.dispose();
        nodeStores.delete(index);
        nodes.delete(index);
    };

    const commit = async (texts: Readonly<Record<string, string>>): Promise<config.ConfigHead> => {
        const row = await platform.table.read("config/head");
        const before = row.kind === "found" ? (row.row.value as config.ConfigHead) : undefined;
        const sections: Record<string, types.Digest> = { ...before?.sections };
        for (const [name, text] of Object.entries(texts)) {
            const digest = crypto.createHash("sha256").update(text).digest("hex");
            sections[name] = ids.toDigest(digest);
            await platform.objects.put(digest, text);
        }
        const revision = ids.toRevision((before?.revision ?? 0) + 1);
        const head: config.ConfigHead = { revision, sections, author: "test", token: "t" };
        await platform.table.transact([], [{ key: "config/head", value: head }]);
        return head;
    };

    platform.setVms(
        Array.from({ length: options.size }, (_, index) => ({
            vm: ids.toVmId(`entry-${index}`),
            role: "entry",
            state: "live",
            control: toControlAddress(index),
            zone: ids.toZoneName(zoneNames[index % zoneNames.length] ?? "a"),
        })),
    );
    for (let index = 0; index < options.size; index++) {
        start(index);
    }

    return {
        platform,
        scheduler,
        nodes,
        traffic,
        start,
        stop,
        setIsolated: (index, isIsolated) => void (isIsolated ? isolated.add(index) : isolated.delete(index)),
        setPaused: (index, isPaused) => {
            const deferredActions = paused.get(index) ?? [];
            paused.delete(index);
            if (isPaused) {
                paused.set(index, deferredActions);
            } else {
                deferredActions.forEach(action => action());
            }
        },
        commit,
        isFresh: index => {
            const state = nodes.get(index)?.blackboard.freshness.get();
            const verdict = state && freshness.computeVerdict(state, scheduler.now(), clusterSettings.freshnessMs);
            return verdict?.kind === "fresh";
        },
        dispose: () => [...nodes.keys()].forEach(stop),
    };
};
