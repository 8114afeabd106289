/**
 * Formats and prints the results of configuration changes.
 */
import * as paths from "../common/config/paths.js";
import * as config from "../common/config/Types.js";
import * as exitCode from "../node/publish/exitCode.js";
import * as publish from "../node/publish/Types.js";
import * as cli from "./Types.js";

type ResultOfKind<K extends publish.PublishResult["kind"]> = Extract<publish.PublishResult, { kind: K }>;

const formatNames = (names: readonly string[]): string => (names.length === 0 ? "none" : names.join(", "));

const formatAdoption = (result: publish.Adoption): string => {
    const listed = result.adopted.length + result.missing.length;
    const missing = result.missing.length === 0 ? "" : `; no response or behind: ${formatNames(result.missing)}`;
    return `${result.adopted.length} of ${listed} entry VMs have it${missing}`;
};

const formatAccepted = (result: ResultOfKind<"accepted">): string => {
    const summary = result.changed.length === 0 ? "Nothing to change." : `Changed: ${formatNames(result.changed)}.`;
    return `${summary} Revision ${result.revision} is in force; ${formatAdoption(result)}.`;
};

const formatNotAccepted = (result: ResultOfKind<"notAccepted">): string =>
    `Revision ${result.revision} is committed, but no majority of the listed entry VMs has reported it yet; ` +
    `${formatAdoption(result)}. It does not need to be published again; "tarragonpath status" shows its progress.`;

const formatConflict = (result: ResultOfKind<"conflict">): string =>
    `Conflict: nothing was committed. Revision ${result.revision} is by ${result.author}. ` +
    `Changed by others: ${formatNames(result.changedByOthers)}. ` +
    `This change also writes: ${formatNames(result.overlapping)}.`;

const formatUnknown = (result: ResultOfKind<"unknown">): string =>
    `Unknown: the commit of revision ${result.revision} may have taken effect (${result.cause}). ` +
    "Run the same command again; it commits nothing if the change is already in force.";

/**
 * Formats faults, one per line.
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
 * Prints the result of a change.
 *
 * @param context - environment of the command
 * @param result - result of the change
 * @param isJson - whether to print JSON for scripts
 * @returns the exit code
 */
export const printResult = (context: cli.CliContext, result: publish.PublishResult, isJson: boolean): number => {
    const processExitCode = exitCode.toExitCode(result);
    if (isJson) {
        context.writeOut(`${JSON.stringify({ ...result, exitCode: processExitCode })}\n`);
    } else if (result.kind === "accepted") {
        context.writeOut(`${formatResult(result)}\n`);
    } else {
        context.writeError(`${formatResult(result)}\n`);
    }
    return processExitCode;
};
