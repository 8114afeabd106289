/**
 * Metrics whose values are read on each scrape.
 */
import * as promClient from "prom-client";
import * as byteMeter from "./byteMeter.js";
import * as quotaRefusals from "./quotaRefusals.js";

export const namePrefix = "tarragonpath_";

/** Values that are read on each scrape. */
export interface MetricSources {
    /** Version of the current configuration; undefined before the first. */
    getConfigurationVersion(): number | undefined;
    /** Age of this VM's own view of the store; infinite if this VM does not follow the store. */
    computeStoreAgeMs(): number;
    countTargets(): number;
    /** Requests, by their fingerprints, that are refused as they crash targets. */
    countBlockedRequests(): number;
    /** Targets that have named a limit on their requests. */
    countLimitedTargets(): number;
    /** Registered targets that have said that they are leaving. */
    countLeavingTargets(): number;
    /** Whether this VM reaches no target. */
    isCutOff(): boolean;
    /** Returns the longest delay of the event loop since the last call. */
    takeMaxLoopDelayMs(): number;
    countPeers(): number;
    countActiveVms(): number;
    countClientConnections(): number;
    /** Bytes of the budget for bodies that are in use. */
    countBodyBytes(): number;
    /** Bodies that wait for room. */
    countWaitingBodies(): number;
    countTargetConnectionsOpened(): number;
    countDroppedLogLines(): number;
    countIgnoredChanges(): number;
    countMalformedRows(): number;
    /** Bytes since the start, by kind, direction and zones. */
    listTraffic(): readonly byteMeter.TrafficCount[];
    getQuotaCounts(): quotaRefusals.QuotaCounts;
}

const addGauges = (registry: promClient.Registry, sources: MetricSources): void => {
    const add = (name: string, help: string, read: () => number): void => {
        new promClient.Gauge({
            name: `${namePrefix}${name}`,
            help,
            registers: [registry],
            collect() {
                this.set(read());
            },
        });
    };
    add(
        "configuration_version",
        "Version of the configuration in force, 0 before the first.",
        () => sources.getConfigurationVersion() ?? 0,
    );
    add(
        "store_age_seconds",
        "Age of this VM's own view of the store, +Inf on a VM that follows a hub.",
        () => sources.computeStoreAgeMs() / 1_000,
    );
    add("targets", "Targets in use.", sources.countTargets);
    add("blocked_requests", "Requests that are refused as they crash targets.", sources.countBlockedRequests);
    add("limited_targets", "Targets that have named a limit on their requests.", sources.countLimitedTargets);
    add("leaving_targets", "Registered targets that have said that they are leaving.", sources.countLeavingTargets);
    add("cut_off", "Whether this VM reaches no target.", () => Number(sources.isCutOff()));
    add(
        "event_loop_delay_seconds",
        "Longest time by which a timer ran late since the last scrape.",
        () => sources.takeMaxLoopDelayMs() / 1_000,
    );
    add("peers", "Entry VMs that live, this one included.", sources.countPeers);
    add("fronts", "Entry VMs that clients are sent to.", sources.countActiveVms);
    add("client_connections", "Open connections of clients.", sources.countClientConnections);
    add("body_budget_used_bytes", "Bytes that bodies of requests have reserved.", sources.countBodyBytes);
    add("waiting_bodies", "Bodies of requests that wait for room.", sources.countWaitingBodies);
};

const addCounter = (registry: promClient.Registry, name: string, help: string, read: () => number): void => {
    new promClient.Counter({
        name: `${namePrefix}${name}`,
        help,
        registers: [registry],
        collect() {
            this.reset();
            this.inc(read());
        },
    });
};

const addTraffic = (registry: promClient.Registry, listTraffic: MetricSources["listTraffic"]): void => {
    new promClient.Counter({
        name: `${namePrefix}traffic_bytes_total`,
        help: "Bytes of connections, by kind, direction and whether the other side is in the same zone.",
        labelNames: ["kind", "direction", "zones"],
        registers: [registry],
        collect() {
            this.reset();
            listTraffic().forEach(({ bytes, ...labels }) => this.inc(labels, bytes));
        },
    });
};

const addQuotaCounter = (registry: promClient.Registry, getCounts: MetricSources["getQuotaCounts"]): void => {
    new promClient.Counter({
        name: `${namePrefix}quota_requests_total`,
        help: "Requests of organisations with a quota: charged, refused because of the quota, and taken back as nothing ran.",
        labelNames: ["end"],
        registers: [registry],
        collect() {
            const { charged, refused, takenBack } = getCounts();
            this.reset();
            this.inc({ end: "charged" }, charged);
            this.inc({ end: "refused" }, refused);
            this.inc({ end: "taken back" }, takenBack);
        },
    });
};

/**
 * Adds the metrics to a registry.
 *
 * @param registry - the registry
 * @param sources - the values
 */
export const addSources = (registry: promClient.Registry, sources: MetricSources): void => {
    addGauges(registry, sources);
    addTraffic(registry, sources.listTraffic);
    addQuotaCounter(registry, sources.getQuotaCounts);
    addCounter(
        registry,
        "target_connections_opened_total",
        "Connections opened to targets.",
        sources.countTargetConnectionsOpened,
    );
    addCounter(
        registry,
        "log_lines_dropped_total",
        "Log lines beyond the bound of a second.",
        sources.countDroppedLogLines,
    );
    addCounter(
        registry,
        "ignored_changes_total",
        "Changes of the shared state that were ignored as old.",
        sources.countIgnoredChanges,
    );
    addCounter(
        registry,
        "malformed_rows_total",
        "Rows of the store that were skipped as malformed, each time they were read.",
        sources.countMalformedRows,
    );
};
