/**
 * Reads the configuration revisions that entry VMs use, and checks them during a run.
 */
import * as undici from "undici";
import * as systemTypes from "../system/Types.js";
import * as types from "./Types.js";

export interface ConfigStatus {
    readonly revision: number;
    /** Whether calls may be dispatched with this revision now. */
    readonly fresh: boolean;
}

const timeoutMs = 2000;
const pollMs = 50;

/**
 * Reads the configuration status of an entry VM.
 *
 * @param entry - the entry VM
 * @returns its status; undefined if it does not respond
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
 * Checks repeatedly that no entry VM, including replacements, reverts to an older revision, and that none uses a
 * revision older than one that was accepted longer ago than the allowance.
 *
 * @param context - the run
 * @param allowanceMs - time for a revision to take effect everywhere
 * @returns the watch
 */
export const startRevisionWatch = (context: types.Context, allowanceMs: number) => {
    const newestByEntry = new Map<systemTypes.EntryVm, number>();
    const accepted: { readonly revision: number; readonly atMs: number }[] = [];
    let isStopped = false;

    const checkEntry = async (entry: systemTypes.EntryVm): Promise<void> => {
        const requestedAtMs = performance.now();
        const status = await readStatus(entry);
        if (status?.fresh !== true) {
            return;
        }
        const before = newestByEntry.get(entry) ?? 0;
        if (status.revision < before) {
            context.addViolation("reverted", `${entry.vm} went from revision ${before} to ${status.revision}`);
        }
        newestByEntry.set(entry, Math.max(before, status.revision));
        const dueRevisions = accepted
            .filter(item => item.atMs + allowanceMs < requestedAtMs)
            .map(item => item.revision);
        const expected = Math.max(0, ...dueRevisions);
        if (status.revision < expected) {
            context.addViolation("late", `${entry.vm} uses revision ${status.revision}; ${expected} is in force`);
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
        /** Records that a revision is accepted from now on. */
        addAccepted: (revision: number): void => void accepted.push({ revision, atMs: performance.now() }),
        stop: async (): Promise<void> => {
            isStopped = true;
            await watching;
        },
    };
};
