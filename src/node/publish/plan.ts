/**
 * Computes the head that a change results in, and validates the whole configuration.
 */
import * as configuration from "../../common/config/configuration.js";
import * as sections from "../../common/config/sections.js";
import * as config from "../../common/config/Types.js";
import * as ids from "../../common/ids.js";
import * as types from "../../common/Types.js";
import * as platform from "../platform/Types.js";
import * as applyChange from "./applyChange.js";
import * as headStore from "./headStore.js";
import * as publish from "./Types.js";

export interface Plan {
    readonly head: config.ConfigHead;
    /** Sections that differ from the head in force. */
    readonly changed: readonly types.SectionName[];
    /** Texts of the changed sections by digest. */
    readonly newTexts: ReadonlyMap<types.Digest, string>;
}

export type PlanResult =
    { readonly kind: "planned"; readonly plan: Plan } | Extract<publish.PublishResult, { kind: "refused" }>;

export interface PlanContext {
    readonly platform: platform.Platform;
    readonly createToken: () => string;
    readonly author: string;
}

/**
 * Creates the result for an unavailable platform service.
 *
 * @param cause - the cause
 * @returns the result
 */
export const createUnavailableResult = (cause: string): Extract<publish.PublishResult, { kind: "refused" }> => ({
    kind: "refused",
    cause: "unavailable",
    faults: [{ where: "platform", message: cause }],
});

const createInvalidResult = (faults: readonly config.Fault[]): Extract<publish.PublishResult, { kind: "refused" }> => ({
    kind: "refused",
    cause: "invalid",
    faults,
});

/** Lists the digests of the sections that stay unchanged, and of the topology, which most changes rewrite in part. */
const listNeededDigests = (change: publish.Change, head: config.ConfigHead): types.Digest[] => {
    const replacedSections = new Set<string>();
    if (change.kind === "publishFiles") {
        change.services.forEach(({ section }) => replacedSections.add(sections.toSectionName(section)));
    }
    return Object.entries(head.sections)
        .filter(([name]) => !replacedSections.has(name))
        .map(([, digest]) => digest);
};

const createNextHead = (context: PlanContext, current: config.ConfigHead, writes: applyChange.SectionWrites) => {
    const next: Record<string, types.Digest> = { ...current.sections };
    const texts = new Map<types.Digest, string>();
    for (const [name, text] of writes) {
        if (text === undefined) {
            delete next[name];
            continue;
        }
        const digest = sections.computeSectionDigest(text);
        next[name] = digest;
        texts.set(digest, text);
    }
    const revision = ids.toRevision(current.revision + 1);
    const head = { revision, sections: next, author: context.author, token: context.createToken() };
    return { head, texts };
};

/**
 * Checks that a VM to be taken out of service exists, because a misspelled name would have no effect. While the
 * platform's list is unavailable, every name is accepted, so that an outage does not block the command.
 */
const checkVmExists = async (
    context: PlanContext,
    change: publish.Change,
    next: config.Configuration,
): Promise<readonly config.Fault[]> => {
    if (change.kind !== "setVmOut" || !change.out) {
        return [];
    }
    const services = [...next.services.values()];
    if (services.some(service => service.targets.some(target => target.vm === change.vm))) {
        return [];
    }
    const listed = await context.platform.vms.list();
    if (listed.kind === "unavailable" || listed.vms.some(item => item.vm === change.vm)) {
        return [];
    }
    const message = "is neither the VM of a target nor on the platform's list";
    return [{ where: `vm ${change.vm}`, message }];
};

/**
 * Creates the plan of a change on top of the head in force.
 *
 * @param context - the platform and the author
 * @param change - the change
 * @param current - the head in force
 * @returns the plan, or the reason for refusal
 */
export const createPlan = async (
    context: PlanContext,
    change: publish.Change,
    current: config.ConfigHead,
): Promise<PlanResult> => {
    const fetched = await headStore.fetchSectionTexts(context.platform.objects, listNeededDigests(change, current));
    if (fetched.kind === "failed") {
        return createUnavailableResult(fetched.cause);
    }
    const topologyDigest = current.sections[sections.topologySectionName];
    const topologyText = topologyDigest === undefined ? undefined : fetched.texts.get(topologyDigest);
    const applied = applyChange.applyChange(change, topologyText);
    if (applied.kind === "refused") {
        return createInvalidResult(applied.faults);
    }
    const { head, texts } = createNextHead(context, current, applied.writes);
    const allTexts = new Map([...fetched.texts, ...texts]);
    const assembled = configuration.assembleWithLabels(head, allTexts, applyChange.createSectionLabels(change));
    if (assembled.kind === "invalid") {
        return createInvalidResult(assembled.faults);
    }
    const changed = headStore.listChangedSections(current, head);
    const vmFaults = changed.length === 0 ? [] : await checkVmExists(context, change, assembled.configuration);
    if (vmFaults.length > 0) {
        return createInvalidResult(vmFaults);
    }
    const newDigests = new Set(changed.map(name => head.sections[name]));
    const newTexts = new Map([...texts].filter(([digest]) => newDigests.has(digest)));
    return { kind: "planned", plan: { head, changed, newTexts } };
};
