/**
 * Exit codes besides those of changes, which `src/node/publish/exitCode.ts` defines. `docs/operators.md` lists them all.
 */
export const exitDone = 0;
/** Wrong usage or settings, an unreachable platform, or an unexpected error. */
export const exitFailed = 1;
/** The configuration files have faults; equal to the code of a refused change. */
export const exitRefused = 2;
/** The command was answered, but what it shows is not in order or not complete. */
export const exitNotInOrder = 6;
