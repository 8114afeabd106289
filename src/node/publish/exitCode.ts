/**
 * Exit codes of the commands that change the configuration.
 */
import * as publish from "./Types.js";

const exitCodes: Readonly<Record<publish.PublishResult["kind"], number>> = {
    accepted: 0,
    refused: 2,
    conflict: 3,
    notAccepted: 4,
    unknown: 5,
};

/**
 * Converts a result to the exit code of the process.
 *
 * @param result - the result
 * @returns the exit code, as documented in `docs/operators.md`
 */
export const toExitCode = (result: publish.PublishResult): number => exitCodes[result.kind];
