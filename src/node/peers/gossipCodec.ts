/**
 * Delta encoding of gossip: the request states what the sender knows, and the response contains only the changes.
 *
 * At the target size the full form (`gossip.pull`) exceeds the whole control traffic budget, mostly with addresses and
 * names that have not changed; docs/configuration-spread.md has the figures.
 */
import * as crypto from "node:crypto";
import * as rendezvous from "../../common/membership/rendezvous.js";
import * as membership from "../../common/membership/Types.js";
import * as types from "./Types.js";

/** Ages are sent in units of `unitMs`, one byte each. */
const unknownAge = 255;
const maxAge = 254;
const versionMask = 0xff;
/** Versions are compared modulo 256: one that is ahead by at most this much is the newer one. */
const maxVersionLead = 127;
const identityHashBytes = 4;

const states: readonly membership.MemberState[] = ["starting", "serving", "leaving"];
const syncedFlag = 4;

/** Members in the order of the message (by VM id), with a digest of their identities. */
export interface KnownMembers {
    readonly records: readonly membership.MemberRecord[];
    readonly identityDigest: string;
}

const getIdentity = (record: membership.MemberRecord): string => `${record.info.vm} ${record.info.incarnation}`;

const computeIdentityHash = (record: membership.MemberRecord): number => rendezvous.computeHash(getIdentity(record));

/**
 * Sorts members for a message and computes the digest of their identities.
 *
 * @param records - all live members
 * @returns the members, ordered by VM id
 */
export const toKnownMembers = (records: Iterable<membership.MemberRecord>): KnownMembers => {
    const sorted = [...records].sort((a, b) => (a.info.vm < b.info.vm ? -1 : 1));
    const identityDigest = crypto
        .createHash("sha256")
        .update(sorted.map(getIdentity).join("\n"))
        .digest("base64")
        .slice(0, 12);
    return { records: sorted, identityDigest };
};

/**
 * Formats the member versions that the sender of a request knows.
 *
 * @param known - the members that the sender knows
 * @returns one byte for each member, in Base64
 */
export const formatVersions = (known: KnownMembers): string =>
    Buffer.from(known.records.map(record => record.version & versionMask)).toString("base64");

/**
 * Formats the identity hashes of the members that the sender of a request knows.
 *
 * @param known - the members that the sender knows
 * @returns four bytes for each member, in Base64
 */
export const formatIds = (known: KnownMembers): string => {
    const buffer = Buffer.alloc(known.records.length * identityHashBytes);
    known.records.forEach((record, index) =>
        buffer.writeUInt32LE(computeIdentityHash(record), index * identityHashBytes),
    );
    return buffer.toString("base64");
};

const formatUpdate = (record: membership.MemberRecord): types.GossipMemberUpdate => [
    record.version,
    states.indexOf(record.info.state) + (record.info.synced ? syncedFlag : 0),
    record.info.revision,
    record.loads,
    record.info.epoch,
];

/** Rounds up, so that no record appears more recent than it is. */
const toAge = (seenAtMs: number, nowMs: number, unitMs: number): number =>
    Math.min(maxAge + 1, Math.ceil(Math.max(0, nowMs - seenAtMs) / unitMs));

/** Returns this VM's records of the members in the request, or undefined if the request must be repeated with `ids`. */
const findRequestedMembers = (
    request: types.GossipChangesRequest,
    known: KnownMembers,
): readonly (membership.MemberRecord | undefined)[] | undefined => {
    if (request.set === known.identityDigest) {
        return known.records;
    }
    if (request.ids === undefined) {
        return undefined;
    }
    const byId = new Map(known.records.map(record => [computeIdentityHash(record), record]));
    const buffer = Buffer.from(request.ids, "base64");
    const count = Math.floor(buffer.length / identityHashBytes);
    return Array.from({ length: count }, (_, index) => byId.get(buffer.readUInt32LE(index * identityHashBytes)));
};

export type MemberChanges = Pick<types.GossipChangesResponse, "unitMs" | "ages" | "news" | "added">;

/**
 * Formats the member changes that the sender of a request does not know.
 *
 * @param request - the request
 * @param known - the members that this VM knows, itself included
 * @param nowMs - local monotonic time
 * @param unitMs - unit of ages in milliseconds; 254 units must cover the member timeout
 * @returns the changes, or undefined if the sender knows a different set of members and has sent no `ids`
 */
export const formatChanges = (
    request: types.GossipChangesRequest,
    known: KnownMembers,
    nowMs: number,
    unitMs: number,
): MemberChanges | undefined => {
    const requested = findRequestedMembers(request, known);
    if (requested === undefined) {
        return undefined;
    }
    const versions = Buffer.from(request.versions, "base64");
    const ages = Buffer.alloc(requested.length, unknownAge);
    const updates: [number, ...types.GossipMemberUpdate][] = [];
    requested.forEach((record, index) => {
        if (record === undefined) {
            return;
        }
        ages[index] = toAge(record.seenAtMs, nowMs, unitMs);
        const lead = (record.version - (versions[index] ?? 0)) & versionMask;
        if (lead > 0 && lead <= maxVersionLead) {
            updates.push([index, ...formatUpdate(record)]);
        }
    });
    const present = new Set(requested);
    const added = known.records
        .filter(record => !present.has(record))
        .map((record): types.GossipMemberRecord => {
            const { vm, incarnation, zone, address, control } = record.info;
            const age = toAge(record.seenAtMs, nowMs, unitMs);
            return [vm, incarnation, zone, address, control, age, ...formatUpdate(record)];
        });
    return {
        unitMs,
        ages: ages.toString("base64"),
        news: updates.length > 0 ? updates : undefined,
        added: added.length > 0 ? added : undefined,
    };
};

const toRecord = (
    identity: Pick<membership.MemberInfo, "vm" | "incarnation" | "zone" | "address" | "control">,
    [version, flags, revision, loads, epoch]: types.GossipMemberUpdate,
    seenAtMs: number,
): membership.MemberRecord => ({
    info: {
        vm: identity.vm,
        incarnation: identity.incarnation,
        zone: identity.zone,
        address: identity.address,
        control: identity.control,
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
 * Converts a response to records that can be merged.
 *
 * @param response - the response
 * @param requestMembers - the members as sent in the request
 * @param requestedAtMs - local time at which the request was sent; ages are subtracted from it
 * @returns the records for which the response has an update or an age
 */
export const parseChanges = (
    response: MemberChanges,
    requestMembers: KnownMembers,
    requestedAtMs: number,
): readonly membership.MemberRecord[] => {
    const ages = Buffer.from(response.ages, "base64");
    const updatesByIndex = new Map(response.news?.map(([index, ...update]) => [index, update]));
    const toSeenAt = (age: number): number => requestedAtMs - age * response.unitMs;
    const records: membership.MemberRecord[] = [];
    requestMembers.records.forEach((record, index) => {
        const age = ages[index] ?? unknownAge;
        if (age === unknownAge) {
            return;
        }
        const update = updatesByIndex.get(index);
        const seenAtMs = toSeenAt(age);
        records.push(update === undefined ? { ...record, seenAtMs } : toRecord(record.info, update, seenAtMs));
    });
    for (const [vm, incarnation, zone, address, control, age, ...update] of response.added ?? []) {
        records.push(toRecord({ vm, incarnation, zone, address, control }, update, toSeenAt(age)));
    }
    return records;
};
