/**
 * Switches that disable one safety mechanism each. Tests use them to show that a check detects the missing mechanism.
 * They are not settings: they have no flag and are not listed in the documentation of the settings.
 */
import * as shared from "../../common/Types.js";

/** Names of the switches, for example `TARRAGONPATH_UNSAFE=no-arbiter,no-drain`. */
export const switchNames = [
    /** Calls with an idempotency key run without asking the arbiter or claiming the key. */
    "no-arbiter",
    /** A non-idempotent call whose outcome is unknown is sent to another target. */
    "retry-non-idempotent",
    /** A connection that broke after the first byte was sent is treated as if nothing had been sent. */
    "assume-not-sent",
    /** A configuration stays in use without a confirmation. */
    "no-freshness",
    /** SIGTERM ends the daemon without finishing the calls in flight. */
    "no-drain",
    /** Peers and callers are not informed of a SIGTERM. */
    "no-leave-notice",
    /** The attempt id that a response echoes is not checked. */
    "no-echo-check",
    /** A truncated response is ended like a complete one. */
    "end-truncated",
    /** Requests that crash targets are not refused. */
    "no-crash-count",
    /** Non-idempotent calls reuse connections regardless of their idle time. */
    "reuse-idle",
    /** A target that reports that it is draining counts as warm. */
    "ignore-draining",
] as const;

export type UnsafeSwitch = (typeof switchNames)[number];

/** The switches that are set. */
export type UnsafeSwitches = ReadonlySet<UnsafeSwitch>;

const variableName = "TARRAGONPATH_UNSAFE";

export const noSwitches: UnsafeSwitches = new Set();

/**
 * Reads the switches from the environment.
 *
 * @param env - the environment variables
 * @param logger - receives a warning if any switch is set
 * @returns the switches that are set
 * @throws an error if a switch is unknown, so that a test cannot pass because of a misspelled name
 */
export const readUnsafeSwitches = (
    env: Readonly<Record<string, string | undefined>>,
    logger: shared.Logger,
): UnsafeSwitches => {
    const names = (env[variableName] ?? "").split(",").filter(name => name !== "");
    const switches = new Set(switchNames.filter(name => names.includes(name)));
    const unknownNames = names.filter(name => !switchNames.some(known => known === name));
    if (unknownNames.length > 0) {
        throw new Error(`${variableName} names unknown switches: ${unknownNames.join(", ")}`);
    }
    if (switches.size > 0) {
        logger.warn(`life: ${variableName} disables safety mechanisms; use it only in tests`, {
            switches: names.join(","),
        });
    }
    return switches;
};
