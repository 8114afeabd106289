/**
 * Logger of the commands; it writes to standard error.
 */
import * as types from "../common/Types.js";

const formatLine = (message: string, fields: types.LogFields = {}): string => {
    const definedFields = Object.entries(fields).filter(([, value]) => value !== undefined);
    return `${[message, ...definedFields.map(([key, value]) => `${key}=${String(value)}`)].join(" ")}\n`;
};

/**
 * Creates a logger that prints the progress of a command; debug messages are dropped.
 *
 * @param writeError - writes text to standard error
 * @returns the logger
 */
export const createCliLogger = (writeError: (text: string) => void): types.Logger => {
    const write = (message: string, fields?: types.LogFields): void => writeError(formatLine(message, fields));
    return { debug: () => undefined, info: write, warn: write, error: write };
};
