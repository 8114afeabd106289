/**
 * Keeps the configuration of an entry daemon up to date and confirmed.
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
import * as waiting from "./waiting.js";

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

interface WantedHead {
    readonly head: config.ConfigHead;
    /** Peers that are known to have the sections. */
    readonly sources: Set<shared.Address>;
}

/** An announcement is answered after at most this time, adopted or not; the publisher asks again. */
const announceWaitMs = 1000;

/** Faults of an invalid configuration that are logged. */
const maxLoggedFaults = 5;

/**
 * Creates the controller and starts to poll the table.
 *
 * A committed revision that is invalid is not adopted, and reads of the table then confirm nothing that is in use. The
 * VM stays fresh on the revision before only through a majority that has not adopted the invalid one either. If other
 * VMs found it valid, this VM goes stale until a valid revision follows.
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
    let wanted: WantedHead | undefined;
    let fetching: Promise<void> | undefined;
    let rejected: shared.Revision | undefined;
    let lastWaiting: shared.Revision | undefined;
    let lastLower: shared.Revision | undefined;
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
            logger.info("config: first confirmation since the start", { revision: next.inUse.revision });
        }
    };

    const listSources = (want: WantedHead): readonly shared.Address[] => {
        const members = [...blackboard.members.get().values()]
            .filter(({ info }) => info.revision >= want.head.revision && info.vm !== blackboard.self.vm)
            .map(({ info }) => info.control);
        return [...new Set([...want.sources, ...members])];
    };

    const logInvalid = (head: config.ConfigHead, faults: readonly config.Fault[]): void => {
        const shown = faults.slice(0, maxLoggedFaults).map(fault => `${fault.where}: ${fault.message}`);
        logger.error("config: committed revision is invalid and was not adopted", {
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
            rejected = head.revision;
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
        if (lastWaiting !== head.revision) {
            lastWaiting = head.revision;
            logger.warn("config: revision waits for sections", { revision: head.revision, missing: missing.length });
        }
    };

    const fetchWanted = async (): Promise<void> => {
        while (wanted !== undefined && !isDisposed) {
            const want = wanted;
            const isWanted = (): boolean => wanted === want && !isDisposed;
            const missing = await sections.fetch(want.head, () => listSources(want), isWanted);
            if (!isWanted()) {
                continue;
            }
            wanted = undefined;
            if (missing.length > 0) {
                logMissing(want.head, missing);
            } else {
                adopt(want.head);
            }
            // Also after a failed attempt, so that announcements that are never adopted do not pile up.
            sections.removeUnused([headInUse, want.head]);
        }
    };

    const startFetch = (): void => {
        if (fetching !== undefined) {
            return;
        }
        fetching = fetchWanted()
            .catch((error: unknown) => {
                wanted = undefined;
                logger.error("config: fetch failed", { cause: String(error) });
            })
            .finally(() => {
                fetching = undefined;
                if (wanted !== undefined && !isDisposed) {
                    startFetch();
                }
            });
    };

    const observeHead = (head: config.ConfigHead, from: shared.Address | undefined): void => {
        const isSuperseded = wanted !== undefined && head.revision < wanted.head.revision;
        if (isDisposed || isSuperseded || head.revision === rejected || !revisions.mayAdopt(state, head.revision)) {
            return;
        }
        if (wanted?.head.revision !== head.revision) {
            wanted = { head, sources: new Set() };
        }
        if (from !== undefined) {
            wanted.sources.add(from);
        }
        startFetch();
    };

    const observeConfirmation = (revision: shared.Revision, atMs: number): void =>
        updateState(revisions.applyConfirmation(state, { revision, atMs }));

    const handleRead = (head: config.ConfigHead | undefined, requestedAtMs: number): void => {
        const revision = headPoll.getRevision(head);
        if (revision < state.inUse.revision && requestedAtMs > adoptedAtMs && revision !== lastLower) {
            lastLower = revision;
            logger.error("config: the table has a lower revision than the one in use, which is kept", {
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
        if (!revisions.mayAdopt(state, head.revision) || head.revision < (wanted?.head.revision ?? 0)) {
            return getStatus();
        }
        for (const digest of new Set(Object.values(head.sections))) {
            const text = texts[digest];
            if (text !== undefined) {
                sections.add(digest, text);
            }
        }
        observeHead(head, undefined);
        if (fetching !== undefined) {
            await waiting.waitAtMost(scheduler, fetching, announceWaitMs);
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
