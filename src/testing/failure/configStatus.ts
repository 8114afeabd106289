/**
 * The revisions that entry VMs use, as they say themselves.
 */
import * as undici from "undici";
import * as systemTypes from "../system/Types.js";
import * as types from "./Types.js";

export interface ConfigStatus {
    readonly revision: number;
    /** Whether calls may be dispatched on it now. */
    readonly fresh: boolean;
}

const timeoutMs = 2000;
const pollMs = 50;

/**
 * Asks an entry VM.
 *
 * @param entry - the entry VM
 * @returns its status; undefined if it does not answer
 */
export const readStatus = async (entry: systemTypes.EntryVm): Promise<ConfigStatus | undefined> => {
    try {
        const response = await undici.request(`http://${entry.control}/rpc`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ jsonrpc: "2.0", id: 1, method: "config.status", params: {} }),
            signal: AbortSignal.timeout(timeoutMs),
        });
        return ((await response.body.json()) as { result?: ConfigStatus }).result;
    } catch {
        return undefined;
    }
};

/**
 * Watches that no entry VM goes back to an older revision, also not one that took the place of another, and that none
 * uses a revision older than one accepted more than a few seconds ago.
 *
 * @param context - the run
 * @param allowanceMs - time for a revision to be in force everywhere
 * @returns the watch
 */
export const startRevisionWatch = (context: types.Context, allowanceMs: number) => {
    const greatest = new Map<systemTypes.EntryVm, number>();
    const accepted: { readonly revision: number; readonly atMs: number }[] = [];
    let isStopped = false;

    const checkEntry = async (entry: systemTypes.EntryVm): Promise<void> => {
        const askedAtMs = performance.now();
        const status = await readStatus(entry);
        if (status?.fresh !== true) {
            return;
        }
        const before = greatest.get(entry) ?? 0;
        if (status.revision < before) {
            context.addViolation("reverted", `${entry.vm} went from revision ${before} to ${status.revision}`);
        }
        greatest.set(entry, Math.max(before, status.revision));
        const due = accepted.filter(item => item.atMs + allowanceMs < askedAtMs).map(item => item.revision);
        const wanted = Math.max(0, ...due);
        if (status.revision < wanted) {
            context.addViolation("late", `${entry.vm} uses revision ${status.revision}; ${wanted} is in force`);
        }
    };

    const watch = async (): Promise<void> => {
        while (!isStopped) {
            await Promise.all(context.system.entries.map(checkEntry));
            await new Promise(resolve => setTimeout(resolve, pollMs));
        }
    };

    const watching = watch();
    return {
        /** Notes that a revision is in force from now on. */
        addAccepted: (revision: number): void => void accepted.push({ revision, atMs: performance.now() }),
        stop: async (): Promise<void> => {
            isStopped = true;
            await watching;
        },
    };
};
