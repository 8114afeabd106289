/**
 * Keeps the configuration of an entry daemon up to date, and records when it was last confirmed to be current.
 */
import * as blackboards from "../../common/blackboard/Types.js";
import * as config from "../../common/config/Types.js";
import * as freshness from "../../common/freshness/freshness.js";
import * as freshnessTypes from "../../common/freshness/Types.js";
import * as revisions from "../../common/freshness/revisions.js";
import * as shared from "../../common/Types.js";
import * as peers from "../peers/Types.js";
import * as platform from "../platform/Types.js";
import * as settingsTypes from "../settings/Types.js";
import * as headPoll from "./headPoll.js";
import * as sectionStore from "./sectionStore.js";
import * as types from "./Types.js";
import * as timeouts from "./timeouts.js";

export interface ConfigurationControllerOptions {
    readonly blackboard: blackboards.Blackboard;
    readonly table: platform.TableService;
    readonly objects: platform.ObjectStore;
    readonly rpcClient: peers.RpcClient;
    readonly rpcServer: peers.RpcServer;
    readonly scheduler: shared.Scheduler;
    readonly settings: Pick<settingsTypes.EntrySettings, "freshnessMs" | "headPollMs">;
    readonly assembleConfiguration: config.AssembleConfiguration;
    readonly logger: shared.Logger;
}

interface PendingHead {
    readonly head: config.ConfigHead;
    /** Control addresses of peers that are known to have the sections. */
    readonly sources: Set<shared.Address>;
}

/** Maximum time until the response to an announcement, whether adopted or not; the publisher asks again. */
const announceTimeoutMs = 1000;

/** Maximum number of faults of an invalid configuration in the log message. */
const maxLoggedFaults = 5;

/**
 * Creates the controller and starts to poll the table.
 *
 * An invalid committed revision is not adopted, and reads of the table no longer confirm the revision in use. The VM
 * then stays fresh on the previous revision only through a majority that has not adopted the invalid one either. If
 * other VMs found it valid, this VM becomes stale until a valid revision follows.
 *
 * @param options - services, settings and the blackboard
 * @returns the controller
 */
export const createConfigurationController = (
    options: ConfigurationControllerOptions,
): types.ConfigurationController => {
    const { blackboard, scheduler, settings, logger } = options;
    const writeConfiguration = blackboard.configuration.takeWriter("configuration controller");
    const writeFreshness = blackboard.freshness.takeWriter("configuration controller");
    const sections = sectionStore.createSectionStore(options);
    let state = revisions.createRevisionState(scheduler.now());
    let headInUse: config.ConfigHead | undefined;
    let pendingHead: PendingHead | undefined;
    let runningFetch: Promise<void> | undefined;
    let rejectedRevision: shared.Revision | undefined;
    let lastIncompleteRevision: shared.Revision | undefined;
    let lastLowerRevision: shared.Revision | undefined;
    let adoptedAtMs = scheduler.now();
    let isDisposed = false;

    const updateState = (next: freshnessTypes.RevisionState): void => {
        const before = state;
        state = next;
        if (next.inUse === before.inUse) {
            return;
        }
        writeFreshness(next.inUse);
        if (before.inUse.confirmedAtMs === undefined && next.inUse.confirmedAtMs !== undefined) {
            logger.info("config: first confirmation since startup", { revision: next.inUse.revision });
        }
    };

    const listSources = (pending: PendingHead): readonly shared.Address[] => {
        const members = [...blackboard.members.get().values()]
            .filter(({ info }) => info.revision >= pending.head.revision && info.vm !== blackboard.self.vm)
            .map(({ info }) => info.control);
        return [...new Set([...pending.sources, ...members])];
    };

    const logInvalid = (head: config.ConfigHead, faults: readonly config.Fault[]): void => {
        const shown = faults.slice(0, maxLoggedFaults).map(fault => `${fault.where}: ${fault.message}`);
        logger.error("config: committed revision is invalid, not adopted", {
            revision: head.revision,
            faults: faults.length,
            first: shown.join("; "),
        });
    };

    const adopt = (head: config.ConfigHead): void => {
        const texts = new Map<shared.Digest, string>();
        for (const digest of Object.values(head.sections)) {
            texts.set(digest, sections.get(digest) ?? "");
        }
        const result = options.assembleConfiguration(head, texts);
        if (result.kind === "invalid") {
            rejectedRevision = head.revision;
            logInvalid(head, result.faults);
            return;
        }
        if (!revisions.mayAdopt(state, head.revision)) {
            return;
        }
        headInUse = head;
        adoptedAtMs = scheduler.now();
        writeConfiguration(result.configuration);
        updateState(revisions.applyAdoption(state, head.revision));
        logger.info("config: adopted revision", { revision: head.revision, author: head.author });
    };

    const logMissing = (head: config.ConfigHead, missing: readonly shared.Digest[]): void => {
        if (lastIncompleteRevision !== head.revision) {
            lastIncompleteRevision = head.revision;
            logger.warn("config: revision not adopted yet, sections are missing", {
                revision: head.revision,
                missing: missing.length,
            });
        }
    };

    const fetchPendingHeads = async (): Promise<void> => {
        while (pendingHead !== undefined && !isDisposed) {
            const pending = pendingHead;
            const isStillPending = (): boolean => pendingHead === pending && !isDisposed;
            const missing = await sections.fetch(pending.head, () => listSources(pending), isStillPending);
            if (!isStillPending()) {
                continue;
            }
            pendingHead = undefined;
            if (missing.length > 0) {
                logMissing(pending.head, missing);
            } else {
                adopt(pending.head);
            }
            // Also after a failed fetch, so that sections of announcements that are never adopted do not accumulate.
            sections.removeUnused([headInUse, pending.head]);
        }
    };

    const startFetch = (): void => {
        if (runningFetch !== undefined) {
            return;
        }
        runningFetch = fetchPendingHeads()
            .catch((error: unknown) => {
                pendingHead = undefined;
                logger.error("config: fetching a revision failed", { cause: String(error) });
            })
            .finally(() => {
                runningFetch = undefined;
                if (pendingHead !== undefined && !isDisposed) {
                    startFetch();
                }
            });
    };

    const observeHead = (head: config.ConfigHead, sourceAddress: shared.Address | undefined): void => {
        const isSuperseded = pendingHead !== undefined && head.revision < pendingHead.head.revision;
        if (
            isDisposed ||
            isSuperseded ||
            head.revision === rejectedRevision ||
            !revisions.mayAdopt(state, head.revision)
        ) {
            return;
        }
        if (pendingHead?.head.revision !== head.revision) {
            pendingHead = { head, sources: new Set() };
        }
        if (sourceAddress !== undefined) {
            pendingHead.sources.add(sourceAddress);
        }
        startFetch();
    };

    const observeConfirmation = (revision: shared.Revision, atMs: number): void =>
        updateState(revisions.applyConfirmation(state, { revision, atMs }));

    const handleRead = (head: config.ConfigHead | undefined, requestedAtMs: number): void => {
        const revision = headPoll.getRevision(head);
        if (revision < state.inUse.revision && requestedAtMs > adoptedAtMs && revision !== lastLowerRevision) {
            lastLowerRevision = revision;
            logger.error("config: the table has a lower revision than the one in use; keeping the one in use", {
                revision,
                inUse: state.inUse.revision,
            });
        }
        const confirmation = revisions.toReadConfirmation(revision, requestedAtMs);
        observeConfirmation(confirmation.revision, confirmation.atMs);
        if (head !== undefined) {
            observeHead(head, undefined);
        }
    };

    const getStatus = (): peers.ConfigStatus => {
        const nowMs = scheduler.now();
        const { revision, confirmedAtMs } = state.inUse;
        return {
            vm: blackboard.self.vm,
            incarnation: blackboard.self.incarnation,
            revision,
            fresh: freshness.computeVerdict(state.inUse, nowMs, settings.freshnessMs).kind === "fresh",
            confirmedAgeMs: confirmedAtMs === undefined ? undefined : nowMs - confirmedAtMs,
        };
    };

    const handleAnnounce: NonNullable<peers.RpcHandlers["config.announce"]> = async ({ head, sections: texts }) => {
        if (!revisions.mayAdopt(state, head.revision) || head.revision < (pendingHead?.head.revision ?? 0)) {
            return getStatus();
        }
        for (const digest of new Set(Object.values(head.sections))) {
            const text = texts[digest];
            if (text !== undefined) {
                sections.add(digest, text);
            }
        }
        observeHead(head, undefined);
        if (runningFetch !== undefined) {
            await timeouts.waitWithTimeout(scheduler, runningFetch, announceTimeoutMs);
        }
        return getStatus();
    };

    options.rpcServer.addHandlers({
        "config.announce": handleAnnounce,
        "config.getSections": ({ digests }) => {
            const found = digests.map(digest => [digest, sections.get(digest)] as const);
            const known = found.filter((entry): entry is [shared.Digest, string] => entry[1] !== undefined);
            return Promise.resolve({ sections: Object.fromEntries(known) });
        },
        "config.status": () => Promise.resolve(getStatus()),
    });

    const poll = headPoll.startHeadPoll({
        table: options.table,
        scheduler,
        intervalMs: settings.headPollMs,
        timeoutMs: settings.freshnessMs,
        logger,
        onRead: handleRead,
    });

    return {
        observeHead,
        observeConfirmation,
        getHead: () => headInUse,
        getConfirmation: () =>
            state.inUse.confirmedAtMs === undefined
                ? undefined
                : { revision: state.inUse.revision, atMs: state.inUse.confirmedAtMs },
        dispose: () => {
            isDisposed = true;
            poll.dispose();
        },
    };
};
