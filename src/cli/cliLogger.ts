/**
 * Log lines of commands, on the error output.
 */
import * as types from "../common/Types.js";

const formatLine = (message: string, fields: types.LogFields = {}): string => {
    const known = Object.entries(fields).filter(([, value]) => value !== undefined);
    return `${[message, ...known.map(([key, value]) => `${key}=${String(value)}`)].join(" ")}\n`;
};

/**
 * Creates a logger that shows the progress of a command.
 *
 * @param writeError - writes to the error output
 * @returns the logger
 */
export const createCliLogger = (writeError: (text: string) => void): types.Logger => {
    const write = (message: string, fields?: types.LogFields): void => writeError(formatLine(message, fields));
    return { debug: () => undefined, info: write, warn: write, error: write };
};
