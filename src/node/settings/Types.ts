/**
 * Settings of the entry daemon, already checked.
 */
import * as types from "../../common/Types.js";

export interface EntrySettings {
    readonly vm: types.VmId;
    readonly zone: types.ZoneName;
    /** Address for callers. */
    readonly listen: types.Address;
    /** Address of the control port, for peers and operators. */
    readonly control: types.Address;
    /** Address by which peers and operators reach the control port. */
    readonly advertiseControl: types.Address;
    /** Base URL of the platform's services, as in `http://10.0.0.5:7000`. */
    readonly platform: string;
    readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
    readonly logFormat: "text" | "json";
    /** Longest use of a configuration that has not been confirmed. */
    readonly freshnessMs: number;
    readonly headPollMs: number;
    readonly gossipIntervalMs: number;
    /** A member is live while its newest news is at most this old. */
    readonly memberTimeoutMs: number;
    /** Time that callers may keep a lookup answer. */
    readonly lookupTtlMs: number;
    /** Time for calls in flight after a SIGTERM. */
    readonly drainTimeoutMs: number;
    /** Entries in the memory of idempotency keys. */
    readonly maxKeys: number;
    /** Bytes of answers kept for resends. */
    readonly keptAnswerBytes: number;
    /** How long a key is remembered. */
    readonly keyRetentionMs: number;
    readonly coldLeaseMs: number;
}
