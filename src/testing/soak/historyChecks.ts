/**
 * Parts that the checks of a history share.
 */
import * as types from "./Types.js";

/** Finds the violations of one rule. */
export type Check = (history: types.SoakHistory, bounds: types.SoakBounds) => readonly types.SoakViolation[];

/** Window in which rates per second are checked. */
export const rateWindowMs = 1_000;
/** Statuses that tell clients that a request has not run and will not run. */
export const notRunStatuses: readonly number[] = [408, 421, 429, 503];
const crashingPathPrefix = "/crash/";

/** Returns the path of a request that crashes the targets that run it. */
export const toCrashingPath = (mode: types.CrashMode, name: string): string => `${crashingPathPrefix}${mode}/${name}`;

/** Returns whether a request crashes the targets that run it, so that it cannot be served. */
export const isCrashingPath = (path: string): boolean => path.startsWith(crashingPathPrefix);

/** Returns how a request crashes the targets that run it; undefined for other requests. */
export const parseCrashMode = (path: string): types.CrashMode | undefined =>
    (["reset", "silent", "mid-response"] as const).find(mode => path.startsWith(`${crashingPathPrefix}${mode}/`));

/** Groups items by a key. */
export const groupBy = <T>(items: readonly T[], getKey: (item: T) => string): ReadonlyMap<string, T[]> => {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const group = groups.get(getKey(item)) ?? [];
        group.push(item);
        groups.set(getKey(item), group);
    }
    return groups;
};

/** Returns whether a VM, or any VM if none is given, was disturbed between two times. */
export const isDisturbed = (history: types.SoakHistory, fromMs: number, toMs: number, vm?: number): boolean =>
    history.disturbances.some(
        entry =>
            entry.fromMs <= toMs &&
            entry.toMs >= fromMs &&
            (vm === undefined || entry.vm === undefined || entry.vm === vm),
    );

/** Returns whether a target's successful response reached the caller. */
export const isServed = ({ outcome }: types.CallerRecord): boolean =>
    outcome?.kind === "answered" && outcome.status === 200;
