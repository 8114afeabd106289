/**
 * Configurations that a hub sends to its followers as the rows that changed, and what a follower does with them.
 */
import * as crypto from "node:crypto";
import * as configurationDifference from "../../common/routes/configurationDifference.js";
import * as sharedState from "../../common/routes/sharedState.js";
import * as routes from "../../common/routes/Types.js";

/** An update of the operators' table in which the configuration is a difference. */
export interface StateDifference {
    /** The update without its configuration. */
    readonly update: routes.StateUpdate;
    /** Version of the configuration's row. */
    readonly rowVersion: routes.RowVersion;
    readonly difference: configurationDifference.ConfigurationDifference;
}

export interface ConfigurationPush {
    /** Describes an update by a difference; undefined if it has no new configuration, or it has to be sent whole. */
    toDifference(update: routes.StateUpdate): StateDifference | undefined;
}

const computeDigest = (text: string): string => crypto.createHash("sha256").update(text).digest("base64");

/**
 * Creates the sender's part, which remembers the configuration before the one in force.
 *
 * @param state - the shared state, to which updates are applied before they are described here
 * @returns the sender's part
 */
export const createConfigurationPush = (
    state: Pick<sharedState.SharedState, "getConfiguration" | "onDidChangeConfiguration">,
): ConfigurationPush => {
    let previous: routes.RouteConfiguration | undefined;
    let current = state.getConfiguration();
    state.onDidChangeConfiguration(next => {
        previous = current;
        current = next;
    });

    return {
        toDifference: update => {
            const change = update.changes.find(({ kind }) => kind === "configuration");
            if (change?.kind !== "configuration" || change.configuration === undefined || previous === undefined) {
                return undefined;
            }
            const difference = configurationDifference.computeDifference(previous, change.configuration, computeDigest);
            const others = update.changes.filter(({ kind }) => kind !== "configuration");
            return difference === undefined
                ? undefined
                : { update: { ...update, changes: others }, rowVersion: change.version, difference };
        },
    };
};

/**
 * Applies a difference to the configuration that a follower has.
 *
 * @param configuration - the follower's configuration; undefined before the first
 * @param received - what the hub has sent
 * @returns the whole update; undefined if the difference is based on another configuration
 */
export const applyDifference = (
    configuration: routes.RouteConfiguration | undefined,
    { update, rowVersion, difference }: StateDifference,
): routes.StateUpdate | undefined => {
    const next = configurationDifference.applyDifference(configuration, difference, computeDigest);
    const change = { kind: "configuration", version: rowVersion, configuration: next } as const;
    return next === undefined ? undefined : { ...update, changes: [...update.changes, change] };
};
