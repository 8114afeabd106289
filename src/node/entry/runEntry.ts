/**
 * Placeholder until the daemon is composed.
 */
import * as settings from "../settings/Types.js";

/**
 * Runs the entry daemon until it has shut down.
 *
 * @param _settings - the checked settings
 * @returns resolves when the daemon has ended
 */
export const runEntry = (_settings: settings.EntrySettings): Promise<void> =>
    Promise.reject(new Error("not implemented"));
