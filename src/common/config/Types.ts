/**
 * The configuration that operators publish: one section for each service and one for the topology.
 */
import * as types from "../Types.js";

export interface TargetConfig {
    readonly id: types.TargetId;
    readonly address: types.Address;
    readonly zone: types.ZoneName;
    readonly vm: types.VmId;
    /** Calls at a time. */
    readonly slots: number;
    /** Calls at a time during cold start, over all entry VMs together. */
    readonly coldSlots: number;
    /** Taken out by the service's owner; the target receives no new work. */
    readonly out: boolean;
}

/** `METHOD /path`; `*` stands for one path segment and `**` for any rest. */
export interface RequestPattern {
    /** Upper case, or `*` for any method. */
    readonly method: string;
    readonly path: string;
}

export interface ServiceSection {
    readonly kind: "service";
    readonly service: types.ServiceName;
    /** Time allowed to a call whose caller names no deadline. */
    readonly deadlineMs: number;
    /** Open connections to one target at most, over all entry VMs. */
    readonly connections: number;
    /** Calls that wait in the queue of one cell at most. */
    readonly queueLimit: number;
    readonly maxBodyBytes: number;
    readonly ownersPerZone: number;
    /** Requests that may run more than once, besides GET, HEAD and OPTIONS. */
    readonly idempotent: readonly RequestPattern[];
    /** Requests that must not run twice although their method is GET, HEAD or OPTIONS. */
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
    /** One-way delay. Links are symmetric. */
    readonly delayMs: number;
}

export interface TopologySection {
    readonly kind: "topology";
    readonly zones: readonly ZoneConfig[];
    readonly links: readonly LinkConfig[];
    /** VMs, of targets or entry daemons, that receive no new work. */
    readonly vmsOut: readonly types.VmId[];
}

export type Section = ServiceSection | TopologySection;

/** The row `config/head`; `config/revision/<n>` holds the same for each revision. */
export interface ConfigHead {
    readonly revision: types.Revision;
    readonly sections: Readonly<Record<string, types.Digest>>;
    readonly author: string;
    /** Random; tells a publisher whether a commit with a lost answer was its own. */
    readonly token: string;
}

/** A complete and valid set of sections. */
export interface Configuration {
    readonly revision: types.Revision;
    readonly digests: ReadonlyMap<types.SectionName, types.Digest>;
    readonly topology: TopologySection;
    readonly services: ReadonlyMap<types.ServiceName, ServiceSection>;
}

/** A fault of an input, with the place where it is. */
export interface Fault {
    /** File or section, and the path of the field, as in `bookings.yaml: targets[2].zone`. */
    readonly where: string;
    readonly message: string;
}

export type AssembleResult =
    | { readonly kind: "valid"; readonly configuration: Configuration }
    | { readonly kind: "invalid"; readonly faults: readonly Fault[] };

/** Builds a configuration from a head and the texts of its sections by digest. */
export type AssembleConfiguration = (head: ConfigHead, texts: ReadonlyMap<types.Digest, string>) => AssembleResult;
