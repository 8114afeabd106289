/**
 * Switches that turn one safety mechanism off. Tests use them to show that a check notices when the mechanism is
 * missing. They are not settings: they have no flag and no place in the documentation of the settings.
 */
import * as shared from "../../common/Types.js";

/** Names of the switches, as in `TARRAGONPATH_UNSAFE=no-arbiter,no-drain`. */
export const switchNames = [
    /** Calls with an idempotency key run without asking the arbiter or claiming the key. */
    "no-arbiter",
    /** A non-idempotent call whose outcome is unknown is sent to another target. */
    "retry-non-idempotent",
    /** A connection that broke after the first byte is taken for one that broke before it. */
    "assume-not-sent",
    /** A configuration stays in use without a confirmation. */
    "no-freshness",
    /** SIGTERM ends the daemon without finishing the calls in flight. */
    "no-drain",
    /** SIGTERM is not told to peers and callers. */
    "no-leave-notice",
    /** The echo of the attempt id is ignored. */
    "no-echo-check",
    /** An answer that broke off is ended like a complete one. */
    "end-truncated",
    /** Requests that crash targets are not counted. */
    "no-crash-count",
    /** Non-idempotent calls use connections that have been idle for any time. */
    "reuse-idle",
    /** A target that reports that it is draining counts as warm. */
    "ignore-draining",
] as const;

export type UnsafeSwitch = (typeof switchNames)[number];

/** The switches that are on. */
export type UnsafeSwitches = ReadonlySet<UnsafeSwitch>;

const variable = "TARRAGONPATH_UNSAFE";

export const noSwitches: UnsafeSwitches = new Set();

/**
 * Reads the switches from the environment.
 *
 * @param env - the environment variables
 * @param logger - receives a warning if any switch is on
 * @returns the switches that are on
 * @throws an error if a switch is unknown, so that a test cannot pass because of a misspelt name
 */
export const readUnsafeSwitches = (
    env: Readonly<Record<string, string | undefined>>,
    logger: shared.Logger,
): UnsafeSwitches => {
    const names = (env[variable] ?? "").split(",").filter(name => name !== "");
    const switches = new Set(switchNames.filter(name => names.includes(name)));
    const unknown = names.filter(name => !switchNames.some(known => known === name));
    if (unknown.length > 0) {
        throw new Error(`${variable} names unknown switches: ${unknown.join(", ")}`);
    }
    if (switches.size > 0) {
        logger.warn(`life: ${variable} turns safety mechanisms off; this is for tests only`, {
            switches: names.join(","),
        });
    }
    return switches;
};
