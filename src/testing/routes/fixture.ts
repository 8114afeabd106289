/**
 * Test data for routing by host and path.
 */
import * as ids from "../../common/ids.js";
import * as callers from "../../common/routes/callers.js";
import * as ownedRates from "../../common/routes/ownedRates.js";
import * as targetLimits from "../../common/routes/targetLimits.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as connectionInfo from "../../node/routes/connectionInfo.js";
import * as drainControl from "../../node/routes/drainControl.js";
import * as nodeRoutes from "../../node/routes/Types.js";
import * as virtualScheduler from "../virtualScheduler.js";
import * as silentLogger from "../silentLogger.js";

export const vm = ids.toVmId("vm-a");
export const service = ids.toServiceName("bookings");
export const zone = ids.toZoneName("west-a");
export const otherZone = ids.toZoneName("west-b");

/**
 * Creates a route.
 *
 * @param fields - fields that differ from those of an idempotent route
 * @returns the route
 */
export const createRoute = (fields: Partial<routes.Route> = {}): routes.Route => ({
    name: "jobs",
    host: "example.org",
    prefix: "/jobs/",
    kind: "idempotent",
    timeoutMs: 1_000,
    objectiveMs: 300,
    priority: 1,
    maxTargets: 2,
    services: [{ service, weight: 1 }],
    ...fields,
});

/**
 * Creates a registration.
 *
 * @param id - the target's id
 * @param fields - fields that differ from those of a warm target in `zone`
 * @returns the registration
 */
export const createRegistration = (id: string, fields: Partial<routes.Registration> = {}): routes.Registration => ({
    id: ids.toTargetId(id),
    service,
    address: ids.toAddress("127.0.0.1:1"),
    zone,
    slots: 2,
    state: "ready",
    coldLeftMs: 0,
    startedAtMs: 1,
    ...fields,
});

/**
 * Creates a version of the store's first era.
 *
 * @param sequence - the store's count of changes
 * @returns the version
 */
export const createVersion = (sequence: number): routes.RowVersion => ({ era: 1, sequence });

/**
 * Creates the change of a target's row.
 *
 * @param version - the row's version, or its sequence in the first era
 * @param registration - the row's content; undefined for a removal
 * @param id - the target's id, needed only for a removal
 * @returns the change
 */
export const createTargetChange = (
    version: number | routes.RowVersion,
    registration: routes.Registration | undefined,
    id = registration?.id ?? ids.toTargetId("none"),
): routes.StateChange => ({
    kind: "target",
    version: typeof version === "number" ? createVersion(version) : version,
    id,
    registration,
});

/**
 * Creates a configuration with one route.
 *
 * @param version - the configuration's version
 * @returns the configuration
 */
export const createConfiguration = (version: number): routes.RouteConfiguration => ({
    version,
    routes: [createRoute()],
    services: [{ name: service, healthPath: "/health", coldPerSecond: 10 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    unknownValues: [],
});

/** The first request of a pool's first connection. */
export const firstConnection: connectionInfo.ConnectionInfo = { number: 1, carriedRequests: 0 };

/** The view of a VM that has no peers. */
export const createLoneRateView = (): ownedRates.RateView => ({ owners: [vm], share: 1 });

/**
 * Creates the control of a VM that does not drain, and records nothing.
 *
 * @param clock - the clock
 * @returns the control
 */
export const createDrainControl = (clock: shared.Clock): drainControl.DrainControl =>
    drainControl.createDrainControl({
        clock,
        logger: silentLogger.createSilentLogger(),
        metrics: { recordDrainRefusal: () => undefined, recordCutOff: () => undefined },
    });

/**
 * Creates limits of targets, initially none, of a VM that has no peers.
 *
 * @param clock - the clock
 * @returns the limits
 */
export const createTargetLimits = (clock: shared.Clock): targetLimits.TargetLimits =>
    targetLimits.createTargetLimits({
        clock,
        vm,
        getRateView: createLoneRateView,
        logger: silentLogger.createSilentLogger(),
        handleMalformed: () => undefined,
    });

/**
 * Advances the time until the VM knows for long enough that it owns the limited targets.
 *
 * @param limits - the limits
 * @param scheduler - the clock of the limits
 */
export const settleLimits = async (
    limits: targetLimits.TargetLimits,
    scheduler: virtualScheduler.VirtualScheduler,
): Promise<void> => {
    for (let count = 0; count < 20; count++) {
        await scheduler.advance(100);
        limits.refresh();
    }
};

/**
 * Creates a peer.
 *
 * @param vm - the VM's id
 * @param fields - fields that differ from those of a ready VM without requests
 * @returns the peer
 */
export const createPeer = (vm: string, fields: Partial<routes.Peer> = {}): routes.Peer => ({
    vm: ids.toVmId(vm),
    incarnation: ids.toIncarnationId(`${vm}-1`),
    zone,
    region: ids.toRegionName("west"),
    frontAddress: ids.toAddress("127.0.0.1:1"),
    peerAddress: ids.toAddress("127.0.0.1:2"),
    startedAtMs: 1,
    isSeed: false,
    cores: 0.5,
    isReady: true,
    requestsPerSecond: 0,
    ...fields,
});

/** Of a response that says nothing about its target. */
export const noNotice: routes.TargetNotice = { limit: { kind: "none" }, pause: { kind: "none" }, isLeaving: false };

const parseTestStatement = (text: string | undefined): callers.CallerStatement | undefined => {
    const [name = "", proof = ""] = text?.split(";") ?? [];
    return text === undefined ? undefined : { organisation: ids.toOrganisationName(name), proof };
};

/** A dialect with its own headers, so that tests of the platform-independent code need no platform's dialect. */
export const testDialect: nodeRoutes.HttpDialect = {
    parseRequestHead: headers => {
        const map = toHeaderMap(headers);
        const timeoutText = map.get("x-patience");
        return {
            id: map.get("x-id"),
            host: map.get("host") ?? "",
            clientTimeoutMs: timeoutText === undefined ? undefined : Number(timeoutText),
            relayedMaxTargets: map.has("x-relayed") ? Number(map.get("x-relayed")) : undefined,
            keys: map.has("x-key") ? [ids.toKeyDigest(map.get("x-key") ?? "")] : [],
            relayedStatement: map.has("x-relayed") ? parseTestStatement(map.get("x-statement")) : undefined,
            relayedConfiguration: map.has("x-configuration") ? Number(map.get("x-configuration")) : undefined,
        };
    },
    // The digest of a key is sent in place of the key.
    stripKeys: (headers, _keys, isStripped) =>
        headers.filter(
            (_, index) =>
                headers[index - (index % 2)] !== "x-key" ||
                !isStripped(ids.toKeyDigest(headers[index - (index % 2) + 1] ?? "")),
        ),
    formatAttemptHeaders: (headers, attempt) => [
        ...headers,
        ...(attempt.organisation === undefined ? [] : ["x-organisation", attempt.organisation]),
        "x-left",
        String(attempt.remainingMs),
        "x-target",
        attempt.target,
    ],
    formatRelayHeaders: (headers, relayed) => [
        ...headers,
        ...["x-left", String(relayed.remainingMs), "x-relayed", String(relayed.maxTargets)],
        ...["x-configuration", String(relayed.configurationVersion)],
        ...(relayed.statement === undefined
            ? []
            : ["x-statement", `${relayed.statement.organisation};${relayed.statement.proof}`]),
    ],
    parseResponseHead: (statusCode, headers) => {
        const map = toHeaderMap(headers);
        const instance = map.get("x-instance");
        return {
            id: map.get("x-id"),
            isSigned: map.has("x-seal"),
            isRefusal: map.has("x-refused") || (statusCode === 421 && !map.has("x-seal")),
            load: undefined,
            notice: { ...noNotice, isLeaving: map.has("x-leaving") },
            idleTimeoutMs: undefined,
            coldLeftMs: undefined,
            target: instance === undefined ? undefined : ids.toTargetId(instance),
            forwardedHeaders: ["x-seal", map.get("x-seal") ?? ""],
            isEncoded: map.has("content-encoding"),
        };
    },
    formatOwnResponseHeaders: requestId => ["x-id", requestId ?? ""],
};

const toHeaderMap = (headers: nodeRoutes.RawHeaders): Map<string, string> => {
    const map = new Map<string, string>();
    for (let index = 0; index + 1 < headers.length; index += 2) {
        map.set((headers[index] ?? "").toLowerCase(), headers[index + 1] ?? "");
    }
    return map;
};
