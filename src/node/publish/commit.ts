/**
 * Commits a head. A lost response is resolved by reading back the row of the revision.
 */
import * as storageNames from "../../common/config/storageNames.js";
import * as config from "../../common/config/Types.js";
import * as types from "../../common/Types.js";
import * as platform from "../platform/Types.js";
import * as headStore from "./headStore.js";
import * as waiting from "./waiting.js";

export type CommitResult =
    | { readonly kind: "committed" }
    | { readonly kind: "conflict" }
    /** Has certainly not taken effect. */
    | { readonly kind: "unavailable"; readonly cause: string }
    /** May have taken effect. */
    | { readonly kind: "unknown"; readonly cause: string };

export interface CommitContext {
    readonly table: platform.TableService;
    readonly scheduler: types.Scheduler;
    readonly timeoutMs: number;
    readonly pollMs: number;
}

type ReadBack = { readonly kind: "own" | "other" | "absent" } | { readonly kind: "failed"; readonly cause: string };

const readBack = async (context: CommitContext, head: config.ConfigHead, untilMs: number): Promise<ReadBack> => {
    for (;;) {
        const result = await headStore.readRevision(context.table, head.revision);
        if (result.kind === "read") {
            return { kind: result.head.token === head.token ? "own" : "other" };
        }
        if (result.kind === "absent" || context.scheduler.now() >= untilMs) {
            return result;
        }
        await waiting.waitFor(context.scheduler, context.pollMs);
    }
};

const sendTransaction = (
    context: CommitContext,
    headVersion: number,
    head: config.ConfigHead,
): Promise<platform.TransactResult> => {
    const revisionKey = storageNames.toRevisionKey(head.revision);
    return context.table.transact(
        [
            { key: storageNames.headKey, version: headVersion },
            { key: revisionKey, version: 0 },
        ],
        [
            { key: storageNames.headKey, value: head },
            { key: revisionKey, value: head },
        ],
    );
};

/**
 * Commits a head and the row of its revision.
 *
 * A transaction without a response is sent again only after a read has shown that it has not taken effect. If it still
 * arrives late, only one of the two can commit, because both are conditional on the same version of the head. A
 * conflict after a lost response may therefore be caused by this publisher's own commit, which the token identifies.
 *
 * @param context - table service, scheduler and timeouts
 * @param headVersion - version of the head's row that the new head is based on
 * @param head - the new head, with a unique token
 * @returns the result of the commit
 */
export const commitHead = async (
    context: CommitContext,
    headVersion: number,
    head: config.ConfigHead,
): Promise<CommitResult> => {
    const untilMs = context.scheduler.now() + context.timeoutMs;
    let lostCause: string | undefined;
    for (;;) {
        const result = await sendTransaction(context, headVersion, head);
        if (result.kind === "committed") {
            return result;
        }
        if (result.kind === "conflict" && lostCause === undefined) {
            return { kind: "conflict" };
        }
        if (result.kind === "unavailable") {
            return lostCause === undefined ? result : { kind: "unknown", cause: `${lostCause}, then ${result.cause}` };
        }
        lostCause = result.kind === "unknown" ? result.cause : lostCause;
        const readBackResult = await readBack(context, head, untilMs);
        if (readBackResult.kind === "own") {
            return { kind: "committed" };
        }
        if (readBackResult.kind === "other") {
            return { kind: "conflict" };
        }
        if (readBackResult.kind === "failed" || context.scheduler.now() >= untilMs) {
            return {
                kind: "unknown",
                cause: readBackResult.kind === "failed" ? readBackResult.cause : (lostCause ?? "response lost"),
            };
        }
        await waiting.waitFor(context.scheduler, context.pollMs);
    }
};
