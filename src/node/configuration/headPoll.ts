/**
 * Polls the row `config/head`.
 */
import * as config from "../../common/config/Types.js";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as parameters from "../peers/parameters.js";
import * as platform from "../platform/Types.js";
import * as timeouts from "./timeouts.js";

const headKey = "config/head";

/** A confirmation must be later than the start, and a clock in whole milliseconds would give both the same time. */
const firstDelayMs = 1;

export interface HeadPollOptions {
    readonly table: platform.TableService;
    readonly scheduler: shared.Scheduler;
    readonly intervalMs: number;
    /** Timeout of a read; a later response could only confirm a revision that is already stale. */
    readonly timeoutMs: number;
    readonly logger: shared.Logger;
    /** Called after each successful read, with the time of its start; `head` is undefined if the row is absent. */
    onRead(head: config.ConfigHead | undefined, requestedAtMs: number): void;
}

/**
 * Starts polling. Only one read runs at a time.
 *
 * @param options - the table, the interval and the callback
 * @returns a disposable that stops the poll
 */
export const startHeadPoll = (options: HeadPollOptions): shared.Disposable => {
    const { table, scheduler, logger } = options;
    let isDisposed = false;
    let isUnavailable = false;
    let lastRow: { readonly version: number; readonly head: config.ConfigHead } | undefined;
    let timer: shared.Disposable | undefined;

    const parseRow = (row: platform.Row): config.ConfigHead | undefined => {
        if (row.version === lastRow?.version) {
            return lastRow.head;
        }
        const parsed = parameters.configHead.safeParse(row.value);
        if (!parsed.success) {
            logger.error("config: row config/head is malformed", { version: row.version });
            return undefined;
        }
        const head = parsed.data as unknown as config.ConfigHead;
        lastRow = { version: row.version, head };
        return head;
    };

    const findHead = (result: platform.ChangedReadResult | undefined): config.ConfigHead | undefined => {
        switch (result?.kind) {
            case "found":
                return parseRow(result.row);
            case "unchanged":
                return lastRow?.head;
            case "absent":
            case "unavailable":
            case undefined:
                return undefined;
        }
    };

    const readHead = (): Promise<platform.ChangedReadResult> =>
        lastRow === undefined ? table.read(headKey) : table.readIfChanged(headKey, lastRow.version);

    const applyResult = (result: platform.ChangedReadResult | undefined, requestedAtMs: number): void => {
        const wasUnavailable = isUnavailable;
        isUnavailable = result === undefined || result.kind === "unavailable";
        if (isUnavailable !== wasUnavailable) {
            logger.warn(isUnavailable ? "config: table service unavailable" : "config: table service available again", {
                cause: result?.kind === "unavailable" ? result.cause : undefined,
            });
        }
        if (result?.kind === "absent") {
            options.onRead(undefined, requestedAtMs);
        }
        const head = findHead(result);
        if (head !== undefined) {
            options.onRead(head, requestedAtMs);
        }
    };

    const poll = async (): Promise<void> => {
        const requestedAtMs = scheduler.now();
        const result = await timeouts.waitWithTimeout(scheduler, readHead(), options.timeoutMs);
        if (isDisposed) {
            return;
        }
        applyResult(result, requestedAtMs);
        const elapsedMs = scheduler.now() - requestedAtMs;
        timer = scheduler.schedule(Math.max(0, options.intervalMs - elapsedMs), () => void poll());
    };

    timer = scheduler.schedule(firstDelayMs, () => void poll());
    return {
        dispose: () => {
            isDisposed = true;
            timer?.dispose();
        },
    };
};

/**
 * Returns the revision of a head.
 *
 * @param head - the head, or undefined if the row is absent
 * @returns the revision; 0 before the first publication
 */
export const getRevision = (head: config.ConfigHead | undefined): shared.Revision =>
    head?.revision ?? ids.toRevision(0);
