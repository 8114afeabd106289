/**
 * Compact form of gossip: the request says what is known, and the answer says what has changed.
 *
 * At the target size the plain form (`gossip.pull`) costs more than the whole budget for control, mostly for addresses
 * and names that have not changed; docs/configuration-spread.md has the figures.
 */
import * as crypto from "node:crypto";
import * as rendezvous from "../../common/membership/rendezvous.js";
import * as membership from "../../common/membership/Types.js";
import * as types from "./Types.js";

const unknownAge = 255;
const maxAge = 254;
const versionMask = 0xff;
/** Of two versions modulo 256, the one that is at most this far ahead is the newer one. */
const maxVersionLead = 127;
const idBytes = 4;

const states: readonly membership.MemberState[] = ["starting", "serving", "leaving"];
const syncedFlag = 4;

/** Members in the order of the message. */
export interface KnownMembers {
    readonly records: readonly membership.MemberRecord[];
    readonly set: string;
}

const getKey = (record: membership.MemberRecord): string => `${record.info.vm} ${record.info.incarnation}`;

const computeId = (record: membership.MemberRecord): number => rendezvous.computeHash(getKey(record));

/**
 * Orders members for a message and digests who they are.
 *
 * @param records - all live members
 * @returns the members in the order of their VM ids
 */
export const toKnownMembers = (records: Iterable<membership.MemberRecord>): KnownMembers => {
    const sorted = [...records].sort((a, b) => (a.info.vm < b.info.vm ? -1 : 1));
    const set = crypto.createHash("sha256").update(sorted.map(getKey).join("\n")).digest("base64").slice(0, 12);
    return { records: sorted, set };
};

/**
 * Formats the versions that the sender of a request knows.
 *
 * @param known - the members
 * @returns one byte each, in Base64
 */
export const formatVersions = (known: KnownMembers): string =>
    Buffer.from(known.records.map(record => record.version & versionMask)).toString("base64");

/**
 * Formats the identities of the members that the sender of a request knows.
 *
 * @param known - the members
 * @returns four bytes each, in Base64
 */
export const formatIds = (known: KnownMembers): string => {
    const buffer = Buffer.alloc(known.records.length * idBytes);
    known.records.forEach((record, index) => buffer.writeUInt32LE(computeId(record), index * idBytes));
    return buffer.toString("base64");
};

const formatNews = (record: membership.MemberRecord): types.GossipNews => [
    record.version,
    states.indexOf(record.info.state) + (record.info.synced ? syncedFlag : 0),
    record.info.revision,
    record.loads,
    record.info.epoch,
];

/** Rounds up, so that no member looks younger than it is. */
const toAge = (seenAtMs: number, nowMs: number, unitMs: number): number =>
    Math.min(maxAge + 1, Math.ceil(Math.max(0, nowMs - seenAtMs) / unitMs));

/** The members of the request as this VM knows them, or undefined if the request has to be repeated with `ids`. */
const findRequested = (
    request: types.GossipChangesRequest,
    known: KnownMembers,
): readonly (membership.MemberRecord | undefined)[] | undefined => {
    if (request.set === known.set) {
        return known.records;
    }
    if (request.ids === undefined) {
        return undefined;
    }
    const byId = new Map(known.records.map(record => [computeId(record), record]));
    const buffer = Buffer.from(request.ids, "base64");
    const count = Math.floor(buffer.length / idBytes);
    return Array.from({ length: count }, (_, index) => byId.get(buffer.readUInt32LE(index * idBytes)));
};

export type MemberChanges = Pick<types.GossipChangesAnswer, "unitMs" | "ages" | "news" | "added">;

/**
 * Formats what the sender of a request does not know.
 *
 * @param request - the request
 * @param known - the members that this VM knows, itself included
 * @param nowMs - local monotonic time
 * @param unitMs - unit of ages; 254 units must cover the age up to which a member is live
 * @returns the changes, or undefined if the sender knows other members and has not said which
 */
export const formatChanges = (
    request: types.GossipChangesRequest,
    known: KnownMembers,
    nowMs: number,
    unitMs: number,
): MemberChanges | undefined => {
    const requested = findRequested(request, known);
    if (requested === undefined) {
        return undefined;
    }
    const versions = Buffer.from(request.versions, "base64");
    const ages = Buffer.alloc(requested.length, unknownAge);
    const news: [number, ...types.GossipNews][] = [];
    requested.forEach((record, index) => {
        if (record === undefined) {
            return;
        }
        ages[index] = toAge(record.seenAtMs, nowMs, unitMs);
        const lead = (record.version - (versions[index] ?? 0)) & versionMask;
        if (lead > 0 && lead <= maxVersionLead) {
            news.push([index, ...formatNews(record)]);
        }
    });
    const present = new Set(requested);
    const added = known.records
        .filter(record => !present.has(record))
        .map((record): types.GossipRecord => {
            const { vm, incarnation, zone, address, control } = record.info;
            const age = toAge(record.seenAtMs, nowMs, unitMs);
            return [vm, incarnation, zone, address, control, age, ...formatNews(record)];
        });
    return {
        unitMs,
        ages: ages.toString("base64"),
        news: news.length > 0 ? news : undefined,
        added: added.length > 0 ? added : undefined,
    };
};

const toRecord = (
    fixed: Pick<membership.MemberInfo, "vm" | "incarnation" | "zone" | "address" | "control">,
    [version, flags, revision, loads, epoch]: types.GossipNews,
    seenAtMs: number,
): membership.MemberRecord => ({
    info: {
        vm: fixed.vm,
        incarnation: fixed.incarnation,
        zone: fixed.zone,
        address: fixed.address,
        control: fixed.control,
        state: states[flags % syncedFlag] ?? "starting",
        revision,
        synced: flags >= syncedFlag,
        epoch,
    },
    seenAtMs,
    version,
    loads,
});

/**
 * Reads an answer as records that can be merged.
 *
 * @param answer - the answer
 * @param asked - the members as they were in the request
 * @param requestedAtMs - local time at which the request was started; ages count from it
 * @returns the records of which the answer has news or an age
 */
export const parseChanges = (
    answer: MemberChanges,
    asked: KnownMembers,
    requestedAtMs: number,
): readonly membership.MemberRecord[] => {
    const ages = Buffer.from(answer.ages, "base64");
    const newsByIndex = new Map(answer.news?.map(([index, ...news]) => [index, news]));
    const toSeenAt = (age: number): number => requestedAtMs - age * answer.unitMs;
    const records: membership.MemberRecord[] = [];
    asked.records.forEach((record, index) => {
        const age = ages[index] ?? unknownAge;
        if (age === unknownAge) {
            return;
        }
        const news = newsByIndex.get(index);
        const seenAtMs = toSeenAt(age);
        records.push(news === undefined ? { ...record, seenAtMs } : toRecord(record.info, news, seenAtMs));
    });
    for (const [vm, incarnation, zone, address, control, age, ...news] of answer.added ?? []) {
        records.push(toRecord({ vm, incarnation, zone, address, control }, news, toSeenAt(age)));
    }
    return records;
};
