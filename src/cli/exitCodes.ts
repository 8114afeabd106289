/**
 * Exit codes other than those of configuration changes, which `src/node/publish/exitCode.ts` defines.
 * `docs/operators.md` lists all exit codes.
 */
export const exitSuccess = 0;
/** Invalid usage or settings, an unreachable platform, or an unexpected error. */
export const exitFailure = 1;
/** The configuration files are invalid; same code as for a refused change. */
export const exitRefused = 2;
/** The command ran, but its output is incomplete or shows a problem. */
export const exitProblemFound = 6;
