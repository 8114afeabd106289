/**
 * Loggers for tests.
 */
import * as types from "../common/Types.js";

/**
 * Creates a logger that writes nothing.
 *
 * @returns the logger
 */
export const createSilentLogger = (): types.Logger => ({
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
});
