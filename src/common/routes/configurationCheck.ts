/**
 * Checks a configuration of routes before it comes into force. Keys of organisations are never part of a finding.
 */
import * as types from "./Types.js";

export interface Finding {
    /** An error is a part that cannot work as written; a warning is one that may be intended. */
    readonly level: "error" | "warning";
    /** The part of the configuration, such as `route "jobs"`. */
    readonly where: string;
    readonly message: string;
}

type AddFinding = (level: Finding["level"], message: string) => void;

/** Window in which quotas are counted over all VMs, in seconds. */
const quotaWindowSeconds = 5;
/** Characters of paths in request lines; others arrive percent-encoded, or are refused. */
const pathPattern = /^[\x21-\x7e]+$/;
/** Requests' hosts are compared without port. */
const hostPattern = /^([a-z0-9_.-]+|\[[0-9a-f:.]+\])$/;

const createAdd =
    (findings: Finding[], where: string): AddFinding =>
    (level, message) =>
        void findings.push({ level, where, message });

/** Checks whether requests can match a route's host and prefix. */
const checkMatch = ({ host, prefix }: types.Route, add: AddFinding): void => {
    if (!hostPattern.test(host)) {
        add(
            "error",
            `never matches: host ${JSON.stringify(host)} has a port, a wildcard or another character of no host`,
        );
    }
    if (!prefix.startsWith("/")) {
        add("error", `never matches: prefix ${JSON.stringify(prefix)} does not begin with a slash`);
    } else if (!pathPattern.test(prefix) || /[?#]/.test(prefix)) {
        add("error", `never matches: prefix ${JSON.stringify(prefix)} contains characters that no path has`);
    } else if (!prefix.endsWith("/")) {
        add("warning", `prefix ${JSON.stringify(prefix)} does not end with a slash and also matches longer names`);
    }
};

const checkTimes = ({ timeoutMs, objectiveMs, maxTargets, priority }: types.Route, add: AddFinding): void => {
    if (timeoutMs <= 0) {
        add("error", "deadline of 0 ms: every request fails");
    }
    if (objectiveMs <= 0) {
        add("error", "objective of 0 ms: no request waits for a free slot");
    }
    if (timeoutMs > 0 && timeoutMs < objectiveMs) {
        add("error", `deadline of ${timeoutMs} ms is below the objective of ${objectiveMs} ms`);
    }
    if (!Number.isInteger(maxTargets) || maxTargets < 1) {
        add("error", `${maxTargets} attempts: not a whole number from 1`);
    }
    if (!Number.isInteger(priority) || priority < 0) {
        add("warning", `priority ${priority} is not a whole number from 0`);
    }
};

const checkSplit = (route: types.Route, known: ReadonlySet<string>, add: AddFinding): void => {
    if (!route.services.some(({ weight }) => weight > 0)) {
        add("error", "no service with a weight above 0: every request gets 404");
    }
    for (const { service, weight } of route.services) {
        if (weight < 0) {
            add("error", `weight ${weight} of service "${service}" is negative and counts as 0`);
        }
        if (!known.has(service)) {
            add("warning", `service "${service}" is not among the services and gets their defaults`);
        }
    }
};

/** Finds the names that occur more than once. */
const listRepeated = (names: readonly string[]): readonly string[] => [
    ...new Set(names.filter((name, index) => names.indexOf(name) !== index)),
];

const checkRoutes = (configuration: types.RouteConfiguration): readonly Finding[] => {
    const findings: Finding[] = [];
    const known = new Set<string>(configuration.services.map(({ name }) => name));
    const firstRoutes = new Map<string, types.Route>();
    for (const route of configuration.routes) {
        const add = createAdd(findings, `route "${route.name}"`);
        checkMatch(route, add);
        checkTimes(route, add);
        checkSplit(route, known, add);
        const place = `${route.host} ${route.prefix}`;
        const first = firstRoutes.get(place);
        if (first !== undefined) {
            add("error", `never matches: route "${first.name}" has the same host and prefix and precedes it`);
        }
        firstRoutes.set(place, first ?? route);
        if (route.isPublic === true && configuration.organisations === undefined) {
            add("warning", "public has no effect, as there are no organisations");
        }
    }
    const addGeneral = createAdd(findings, "routes");
    if (configuration.routes.length === 0) {
        addGeneral("error", "none: every request gets 404");
    }
    listRepeated(configuration.routes.map(({ name }) => name)).forEach(name =>
        addGeneral("warning", `several are named "${name}", so that logs do not tell them apart`),
    );
    for (const { route, field, value, usedValue } of configuration.unknownValues) {
        createAdd(findings, `route "${route}"`)(
            "warning",
            `unknown ${field} "${value}", "${usedValue}" is used instead`,
        );
    }
    return findings;
};

const checkServices = ({ services, routes }: types.RouteConfiguration): readonly Finding[] => {
    const findings: Finding[] = [];
    const used = new Set<string>(routes.flatMap(route => route.services.map(({ service }) => service)));
    for (const { name, healthPath, coldPerSecond } of services) {
        const add = createAdd(findings, `service "${name}"`);
        if (!used.has(name)) {
            add("warning", "no route sends requests to it");
        }
        if (!healthPath.startsWith("/")) {
            add("error", "the path for health checks does not begin with a slash");
        }
        if (coldPerSecond <= 0) {
            add("error", "targets that have just started get no requests, as the rate for them is not above 0");
        }
    }
    listRepeated(services.map(({ name }) => name)).forEach(name =>
        createAdd(findings, `service "${name}"`)("error", "listed several times, only the last one counts"),
    );
    return findings;
};

const checkLimits = ({ limits }: types.RouteConfiguration): readonly Finding[] => {
    const findings: Finding[] = [];
    const add = createAdd(findings, "limits");
    if (limits.maxHeaderBytes < 1) {
        add("error", "no bytes for headers: every request is refused");
    }
    if (limits.maxBodyBytes < 0) {
        add("error", "negative size of bodies");
    } else if (limits.maxBodyBytes === 0) {
        add("warning", "no bytes for bodies: every request with a body is refused");
    }
    if (limits.headerTimeoutMs <= 0) {
        add("error", "no time for headers");
    }
    if (limits.idleTimeoutMs <= 0) {
        add("warning", "no time for idle connections: every request needs a new one");
    }
    return findings;
};

const checkOrganisations = (configuration: types.RouteConfiguration): readonly Finding[] => {
    const { organisations = [], organisationFaults = [] } = configuration;
    const findings = organisationFaults.map(({ row, field, fault }): Finding => ({
        level: "error",
        where: `organisation "${row}"`,
        message: field === "" ? fault : `${field}: ${fault}`,
    }));
    for (const { name, perSecond, burst } of organisations) {
        const add = createAdd(findings, `organisation "${name}"`);
        if (perSecond !== undefined && perSecond * quotaWindowSeconds + burst < 1) {
            add("error", `the quota is below one request in ${quotaWindowSeconds} s: every request may get 429`);
        }
        if (perSecond === undefined && burst > 0) {
            add("warning", "a burst without a rate has no effect");
        }
    }
    if (configuration.organisations?.length === 0) {
        createAdd(findings, "organisations")("error", "none: every request of a route that is not public gets 401");
    }
    return findings;
};

/**
 * Checks a configuration.
 *
 * @param configuration - the decoded configuration
 * @returns what cannot work as written, or may not be intended
 */
export const checkConfiguration = (configuration: types.RouteConfiguration): readonly Finding[] => [
    ...checkRoutes(configuration),
    ...checkServices(configuration),
    ...checkLimits(configuration),
    ...checkOrganisations(configuration),
];

/**
 * Checks whether a configuration can follow the one in force.
 *
 * @param current - the configuration in force
 * @param next - the configuration that is to follow
 * @param hasDifferences - whether they differ apart from the version
 * @returns an error if the VMs would ignore it or could not tell the two apart
 */
export const checkVersion = (
    current: types.RouteConfiguration,
    next: types.RouteConfiguration,
    hasDifferences: boolean,
): readonly Finding[] => {
    const findings: Finding[] = [];
    const add = createAdd(findings, "version");
    if (next.version < current.version) {
        add("error", `${next.version} is older than ${current.version}, which is in force: VMs ignore it`);
    } else if (next.version === current.version && hasDifferences) {
        add("error", `${next.version} is in force with other content: metrics do not tell which one a VM has`);
    }
    return findings;
};
