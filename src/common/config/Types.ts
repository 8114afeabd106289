/**
 * Types of the published configuration: one section per service and one section for the topology.
 */
import * as types from "../Types.js";

export interface TargetConfig {
    readonly id: types.TargetId;
    readonly address: types.Address;
    readonly zone: types.ZoneName;
    readonly vm: types.VmId;
    /** Maximum number of concurrent calls. */
    readonly slots: number;
    /** Maximum number of concurrent calls during cold start, across all entry VMs. */
    readonly coldSlots: number;
    /** The service's owner took the target out of service; it receives no new calls. */
    readonly out: boolean;
}

/** Written `METHOD /path`; `*` matches one path segment and a final `**` matches any remainder. */
export interface RequestPattern {
    /** In upper case, or `*` for any method. */
    readonly method: string;
    readonly path: string;
}

export interface ServiceSection {
    readonly kind: "service";
    readonly service: types.ServiceName;
    /** Default deadline, for calls without a deadline of their own. */
    readonly deadlineMs: number;
    /** Maximum number of open connections to one target, across all entry VMs. */
    readonly connections: number;
    /** Maximum number of calls queued per cell. */
    readonly queueLimit: number;
    readonly maxBodyBytes: number;
    readonly ownersPerZone: number;
    /** Requests treated as idempotent in addition to GET, HEAD and OPTIONS. */
    readonly idempotent: readonly RequestPattern[];
    /** Requests that must not run twice even if their method is GET, HEAD or OPTIONS. */
    readonly nonIdempotent: readonly RequestPattern[];
    readonly targets: readonly TargetConfig[];
}

export interface ZoneConfig {
    readonly name: types.ZoneName;
    readonly region: types.RegionName;
    readonly out: boolean;
}

export interface LinkConfig {
    readonly from: types.ZoneName;
    readonly to: types.ZoneName;
    /** One-way delay; links are symmetric. */
    readonly delayMs: number;
}

export interface TopologySection {
    readonly kind: "topology";
    readonly zones: readonly ZoneConfig[];
    readonly links: readonly LinkConfig[];
    /** VMs of targets or entry daemons that are out of service; they receive no new work. */
    readonly vmsOut: readonly types.VmId[];
}

export type Section = ServiceSection | TopologySection;

/** Value of the row `config/head`; the row `config/revision/<n>` stores the same for each revision. */
export interface ConfigHead {
    readonly revision: types.Revision;
    readonly sections: Readonly<Record<string, types.Digest>>;
    readonly author: string;
    /** Random value by which a publisher recognizes its own commit if the response to it was lost. */
    readonly token: string;
}

/** A complete set of valid sections. */
export interface Configuration {
    readonly revision: types.Revision;
    readonly digests: ReadonlyMap<types.SectionName, types.Digest>;
    readonly topology: TopologySection;
    readonly services: ReadonlyMap<types.ServiceName, ServiceSection>;
}

/** A validation error in an input, with its location. */
export interface Fault {
    /** File or section and the path of the field, for example `bookings.yaml: targets[2].zone`. */
    readonly where: string;
    readonly message: string;
}

export type AssembleResult =
    | { readonly kind: "valid"; readonly configuration: Configuration }
    | { readonly kind: "invalid"; readonly faults: readonly Fault[] };

/** Assembles a configuration from a head and the texts of its sections, keyed by digest. */
export type AssembleConfiguration = (head: ConfigHead, texts: ReadonlyMap<types.Digest, string>) => AssembleResult;
