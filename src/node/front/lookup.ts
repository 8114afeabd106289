/**
 * Lookup of the entry VMs that callers should use for a service.
 */
import type * as http from "node:http";
import * as blackboard from "../../common/blackboard/Types.js";
import * as claimKeys from "../../common/claims/keys.js";
import * as config from "../../common/config/Types.js";
import * as errorTable from "../../common/errors/errorTable.js";
import * as errorKinds from "../../common/errors/Types.js";
import * as ids from "../../common/ids.js";
import * as membership from "../../common/membership/Types.js";
import * as shared from "../../common/Types.js";
import * as headers from "./headers.js";

/** An entry VM to which callers can send calls. */
export interface LookupEntry {
    readonly vm: shared.VmId;
    readonly address: shared.Address;
    readonly zone: shared.ZoneName;
    /** Prefix for the idempotency keys of calls sent to this address. */
    readonly keyPrefix: string;
}

export interface LookupResponse {
    readonly service: shared.ServiceName;
    readonly revision: shared.Revision;
    readonly ttlMs: number;
    readonly entries: readonly LookupEntry[];
}

export interface LookupOptions {
    readonly blackboard: blackboard.Blackboard;
    readonly ttlMs: number;
    isFresh(): boolean;
}

const lookupPathPattern = /^\/lookup\/([^/?]+)\/?(?:\?(.*))?$/;

const computeDelayMs = (topology: config.TopologySection, from: shared.ZoneName, to: shared.ZoneName): number => {
    if (from === to) {
        return 0;
    }
    const link = topology.links.find(
        item => (item.from === from && item.to === to) || (item.from === to && item.to === from),
    );
    return link?.delayMs ?? Number.MAX_SAFE_INTEGER;
};

const toEntry = (member: membership.Member): LookupEntry => ({
    vm: member.info.vm,
    address: member.info.address,
    zone: member.info.zone,
    keyPrefix: claimKeys.formatKeyPrefix(member.info.incarnation, member.info.epoch),
});

/**
 * Lists the entry VMs for a service: the owners of its cells, nearest zone first.
 *
 * @param board - the blackboard, for ownership of the cells
 * @param configuration - the configuration in use
 * @param service - the service
 * @param zone - the caller's zone
 * @returns the entries, without duplicates
 */
export const listLookupEntries = (
    board: blackboard.Blackboard,
    configuration: config.Configuration,
    service: config.ServiceSection,
    zone: shared.ZoneName,
): LookupEntry[] => {
    const zones = [...new Set(service.targets.map(target => target.zone))];
    zones.sort(
        (left, right) =>
            computeDelayMs(configuration.topology, zone, left) - computeDelayMs(configuration.topology, zone, right) ||
            (left < right ? -1 : 1),
    );
    const ownership = board.ownership.get();
    const entries = new Map<shared.VmId, LookupEntry>();
    for (const targetZone of zones) {
        for (const member of ownership.listCellOwners(ids.toCellId(service.service, targetZone))) {
            if (member.info.state === "serving" && !entries.has(member.info.vm)) {
                entries.set(member.info.vm, toEntry(member));
            }
        }
    }
    return [...entries.values()];
};

const writeJson = (response: http.ServerResponse, status: number, body: unknown): void => {
    response.writeHead(status, { "content-type": "application/json", [headers.headerNames.outcome]: "not-run" });
    response.end(`${JSON.stringify(body)}\n`);
};

const refuse = (response: http.ServerResponse, kind: errorKinds.ErrorKind, message: string): void => {
    const rule = errorTable.errorTable[kind];
    writeJson(response, rule.status, { kind, outcome: rule.outcome, message, advice: rule.advice });
};

/**
 * Creates the handler of `GET /lookup/<service>?zone=<zone>`.
 *
 * @param options - the blackboard, and how long callers may cache a response
 * @returns the handler
 */
export const createLookupHandler =
    (options: LookupOptions) =>
    (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const board = options.blackboard;
        const configuration = board.configuration.get();
        const match = lookupPathPattern.exec(request.url ?? "");
        if (match === null) {
            refuse(response, "bad_request", "the path must be /lookup/<service>?zone=<zone>");
            return Promise.resolve();
        }
        if (configuration === undefined || !options.isFresh()) {
            refuse(response, "stale_configuration", "the configuration has not been confirmed in time");
            return Promise.resolve();
        }
        const service = configuration.services.get(ids.toServiceName(match[1] ?? ""));
        if (service === undefined) {
            refuse(response, "unknown_service", `no service is named ${(match[1] ?? "").slice(0, 80)}`);
            return Promise.resolve();
        }
        const zone = new URLSearchParams(match[2] ?? "").get("zone") ?? board.self.zone;
        if (!configuration.topology.zones.some(item => item.name === zone)) {
            refuse(response, "bad_request", `no zone is named ${zone.slice(0, 80)}`);
            return Promise.resolve();
        }
        const lookupResponse: LookupResponse = {
            service: service.service,
            revision: configuration.revision,
            ttlMs: options.ttlMs,
            entries: listLookupEntries(board, configuration, service, ids.toZoneName(zone)),
        };
        writeJson(response, 200, lookupResponse);
        return Promise.resolve();
    };
