/**
 * Output of the commands that change the configuration.
 */
import * as paths from "../common/config/paths.js";
import * as config from "../common/config/Types.js";
import * as exitCode from "../node/publish/exitCode.js";
import * as publish from "../node/publish/Types.js";
import * as cli from "./Types.js";

type Result<K extends publish.PublishResult["kind"]> = Extract<publish.PublishResult, { kind: K }>;

const formatNames = (names: readonly string[]): string => (names.length === 0 ? "none" : names.join(", "));

const formatAdoption = (result: publish.Adoption): string => {
    const listed = result.adopted.length + result.missing.length;
    const missing = result.missing.length === 0 ? "" : `; without answer or behind: ${formatNames(result.missing)}`;
    return `${result.adopted.length} of ${listed} entry VMs have it${missing}`;
};

const formatAccepted = (result: Result<"accepted">): string => {
    const what = result.changed.length === 0 ? "Nothing to change." : `Changed: ${formatNames(result.changed)}.`;
    return `${what} Revision ${result.revision} is in force; ${formatAdoption(result)}.`;
};

const formatNotAccepted = (result: Result<"notAccepted">): string =>
    `Revision ${result.revision} is committed, but no majority of the listed entry VMs has reported it yet; ` +
    `${formatAdoption(result)}. It does not need to be published again; "tarragonpath status" shows its progress.`;

const formatConflict = (result: Result<"conflict">): string =>
    `Conflict: nothing was committed. Revision ${result.revision} is by ${result.author}. ` +
    `Changed by others: ${formatNames(result.changedByOthers)}. ` +
    `This change also writes: ${formatNames(result.overlapping)}.`;

const formatUnknown = (result: Result<"unknown">): string =>
    `Unknown: the commit of revision ${result.revision} may have taken effect (${result.cause}). ` +
    "Run the same command again; it commits nothing if the change is already in force.";

/**
 * Formats faults, one in a line.
 *
 * @param faults - the faults
 * @returns the lines
 */
export const formatFaults = (faults: readonly config.Fault[]): string => faults.map(paths.formatFault).join("\n");

const formatResult = (result: publish.PublishResult): string => {
    switch (result.kind) {
        case "accepted":
            return formatAccepted(result);
        case "refused":
            return `Refused: nothing was committed.\n${formatFaults(result.faults)}`;
        case "conflict":
            return formatConflict(result);
        case "notAccepted":
            return formatNotAccepted(result);
        case "unknown":
            return formatUnknown(result);
    }
};

/**
 * Prints what became of a change.
 *
 * @param context - the outputs
 * @param result - the result
 * @param isJson - whether to print JSON for scripts
 * @returns the exit code
 */
export const printResult = (context: cli.CliContext, result: publish.PublishResult, isJson: boolean): number => {
    const code = exitCode.toExitCode(result);
    if (isJson) {
        context.writeOut(`${JSON.stringify({ ...result, exitCode: code })}\n`);
    } else if (result.kind === "accepted") {
        context.writeOut(`${formatResult(result)}\n`);
    } else {
        context.writeError(`${formatResult(result)}\n`);
    }
    return code;
};
