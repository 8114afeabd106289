/**
 * Errors that no other handler expects: they end the work in which they occur, are logged and counted, and leave the process
 * running.
 */
import * as errorText from "../../common/errors/errorText.js";
import * as shared from "../../common/Types.js";

/** Where an error was caught; also the prefix of its log line. */
export type ErrorSource = "exchange" | "frontend" | "lookup" | "process";

export type RecordError = (source: ErrorSource, error: unknown) => void;

/** Length to which stack traces are cut in logs. */
const maxStackLength = 1_000;

/**
 * Creates the function that records unexpected errors.
 *
 * @param options - where they are logged and counted
 * @returns the function
 */
export const createErrorRecorder =
    (options: { readonly logger: shared.Logger; countError(source: ErrorSource): void }): RecordError =>
    (source, error) => {
        options.countError(source);
        options.logger.error(`${source}: unexpected error`, {
            reason: errorText.toErrorText(error),
            stack: error instanceof Error ? error.stack?.slice(0, maxStackLength) : undefined,
        });
    };
