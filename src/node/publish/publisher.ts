/**
 * Publishes changes: plans on the newest head, commits, announces and waits for acceptance.
 */
import * as storageNames from "../../common/config/storageNames.js";
import * as config from "../../common/config/Types.js";
import * as types from "../../common/Types.js";
import * as peers from "../peers/Types.js";
import * as platform from "../platform/Types.js";
import * as acceptance from "./acceptance.js";
import * as commit from "./commit.js";
import * as headStore from "./headStore.js";
import * as planning from "./plan.js";
import * as publish from "./Types.js";

export interface PublisherOptions {
    readonly platform: platform.Platform;
    readonly rpc: peers.RpcClient;
    readonly scheduler: types.Scheduler;
    /** Returns a unique random string. */
    readonly createToken: () => string;
    readonly logger: types.Logger;
    /** Name of the operator, stored in the head. */
    readonly author: string;
    readonly times?: Partial<publish.PublishTimes>;
}

export const defaultTimes: publish.PublishTimes = {
    commitTimeoutMs: 10_000,
    acceptTimeoutMs: 15_000,
    rpcTimeoutMs: 1_000,
    pollMs: 200,
};

/** Maximum number of retries after lost races with changes of other sections. */
const maxRaceRetries = 20;

type BaseResult =
    { readonly kind: "read"; readonly head: config.ConfigHead } | Extract<publish.PublishResult, { kind: "refused" }>;

const readBase = async (
    options: PublisherOptions,
    change: publish.Change,
    current: config.ConfigHead,
): Promise<BaseResult> => {
    if (change.kind !== "publishFiles" || change.base === undefined) {
        return { kind: "read", head: current };
    }
    const result = await headStore.readRevision(options.platform.table, change.base);
    switch (result.kind) {
        case "read":
            return result;
        case "failed":
            return planning.createUnavailableResult(result.cause);
        case "absent": {
            const message = `revision ${change.base} does not exist; the newest is ${current.revision}`;
            return { kind: "refused", cause: "invalid", faults: [{ where: "base", message }] };
        }
    }
};

const storeSectionTexts = async (
    objects: platform.ObjectStore,
    texts: ReadonlyMap<types.Digest, string>,
): Promise<string | undefined> => {
    const results = await Promise.all(
        [...texts].map(([digest, text]) => objects.put(storageNames.toSectionObjectName(digest), text)),
    );
    const failed = results.find(result => result.kind === "unavailable");
    return failed === undefined ? undefined : `the object store is unavailable: ${failed.cause}`;
};

const createConflict = (
    base: config.ConfigHead,
    current: config.ConfigHead,
    changed: readonly types.SectionName[],
): Extract<publish.PublishResult, { kind: "conflict" }> => {
    const changedByOthers = headStore.listChangedSections(base, current);
    const overlapping = changedByOthers.filter(name => changed.includes(name));
    return { kind: "conflict", revision: current.revision, author: current.author, changedByOthers, overlapping };
};

/** The final result, or `raced` if another change was committed first and the head must be read again. */
type AttemptResult = publish.PublishResult | { readonly kind: "raced"; readonly plan: planning.Plan };

const waitForRevision = async (
    options: PublisherOptions,
    plan: planning.Plan,
    head: config.ConfigHead,
): Promise<publish.PublishResult> => {
    const times = { ...defaultTimes, ...options.times };
    const context = { ...options, vms: options.platform.vms, times };
    const { isAccepted, adopted, missing } = await acceptance.waitForAcceptance(context, head, plan.newTexts);
    const kind = isAccepted ? "accepted" : "notAccepted";
    return { kind, revision: head.revision, changed: plan.changed, adopted, missing };
};

const commitPlan = async (
    options: PublisherOptions,
    snapshot: headStore.HeadSnapshot,
    plan: planning.Plan,
): Promise<AttemptResult> => {
    const failure = await storeSectionTexts(options.platform.objects, plan.newTexts);
    if (failure !== undefined) {
        return planning.createUnavailableResult(failure);
    }
    const { commitTimeoutMs, pollMs } = { ...defaultTimes, ...options.times };
    const { scheduler } = options;
    const context = { table: options.platform.table, scheduler, timeoutMs: commitTimeoutMs, pollMs };
    const result = await commit.commitHead(context, snapshot.version, plan.head);
    const { revision } = plan.head;
    switch (result.kind) {
        case "committed":
            options.logger.info("config: revision committed", { revision, changed: plan.changed.join(" ") });
            return waitForRevision(options, plan, plan.head);
        case "conflict":
            return { kind: "raced", plan };
        case "unavailable":
            return planning.createUnavailableResult(`the table service is unavailable: ${result.cause}`);
        case "unknown":
            return { kind: "unknown", revision, cause: result.cause };
    }
};

const runAttempt = async (
    options: PublisherOptions,
    change: publish.Change,
    base: config.ConfigHead,
    snapshot: headStore.HeadSnapshot,
): Promise<AttemptResult> => {
    const planned = await planning.createPlan(options, change, snapshot.head);
    if (planned.kind === "refused") {
        return planned;
    }
    const { plan } = planned;
    if (plan.changed.length === 0) {
        options.logger.info("config: nothing to change", { revision: snapshot.head.revision });
        return waitForRevision(options, plan, snapshot.head);
    }
    const conflict = createConflict(base, snapshot.head, plan.changed);
    return conflict.overlapping.length > 0 ? conflict : commitPlan(options, snapshot, plan);
};

const runChange = async (options: PublisherOptions, change: publish.Change): Promise<publish.PublishResult> => {
    let base: config.ConfigHead | undefined;
    let lastConflict: Extract<publish.PublishResult, { kind: "conflict" }> | undefined;
    for (let retry = 0; retry <= maxRaceRetries || lastConflict === undefined; retry++) {
        const read = await headStore.readHeadSnapshot(options.platform.table);
        if (read.kind === "failed") {
            return planning.createUnavailableResult(read.cause);
        }
        const { snapshot } = read;
        if (base === undefined) {
            const baseResult = await readBase(options, change, snapshot.head);
            if (baseResult.kind === "refused") {
                return baseResult;
            }
            base = baseResult.head;
        }
        const result = await runAttempt(options, change, base, snapshot);
        if (result.kind !== "raced") {
            return result;
        }
        options.logger.info("config: another change was committed first", { revision: snapshot.head.revision });
        lastConflict = createConflict(base, snapshot.head, result.plan.changed);
    }
    return lastConflict;
};

/**
 * Creates a publisher.
 *
 * A change is retried on the newest head as long as others have changed only sections that it does not write.
 *
 * @param options - platform, RPC client, scheduler and author
 * @returns the publisher
 */
export const createPublisher = (options: PublisherOptions): publish.Publisher => ({
    publish: change => runChange(options, change),
});
