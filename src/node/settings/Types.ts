/**
 * Validated settings of the entry daemon.
 */
import * as types from "../../common/Types.js";

export interface EntrySettings {
    readonly vm: types.VmId;
    readonly zone: types.ZoneName;
    /** Address on which the daemon serves callers. */
    readonly listen: types.Address;
    /** Address of the control port, for peers and operators. */
    readonly control: types.Address;
    /** Address by which peers and operators reach the control port. */
    readonly advertiseControl: types.Address;
    /** Base URL of the platform's services, for example `http://10.0.0.5:7000`. */
    readonly platform: string;
    readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
    readonly logFormat: "text" | "json";
    /** Longest time for which a configuration is used without a confirmation. */
    readonly freshnessMs: number;
    readonly headPollMs: number;
    readonly gossipIntervalMs: number;
    /** A member counts as live while the newest information about it is at most this old. */
    readonly memberTimeoutMs: number;
    /** Time for which callers may use a lookup response. */
    readonly lookupTtlMs: number;
    /** Longest time for calls in flight to finish after SIGTERM. */
    readonly drainTimeoutMs: number;
    /** Greatest number of remembered idempotency keys. */
    readonly maxKeys: number;
    /** Memory for responses that are kept for resends, in bytes. */
    readonly keptAnswerBytes: number;
    /** Time for which an idempotency key is remembered. */
    readonly keyRetentionMs: number;
    readonly coldLeaseMs: number;
}
