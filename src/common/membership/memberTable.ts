/**
 * Merge of news about members.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

/**
 * Merges news of a VM into what is known of it.
 *
 * Of one incarnation the greater version counts, and it was alive at the later of the two times. Incarnations of one VM
 * run one after the other, so the one that was seen last is the current one.
 *
 * @param known - what is known, if anything
 * @param received - the news
 * @returns the merged record, the same object as `known` if the news adds nothing
 */
export const mergeRecord = (
    known: types.MemberRecord | undefined,
    received: types.MemberRecord,
): types.MemberRecord => {
    if (known === undefined) {
        return received;
    }
    if (known.info.incarnation !== received.info.incarnation) {
        return received.seenAtMs > known.seenAtMs ? received : known;
    }
    const newer = received.version > known.version ? received : known;
    const seenAtMs = Math.max(known.seenAtMs, received.seenAtMs);
    return newer.seenAtMs === seenAtMs ? newer : { ...newer, seenAtMs };
};

/**
 * Lists the VMs of which there has been no news for too long.
 *
 * @param records - all records
 * @param nowMs - local monotonic time
 * @param timeoutMs - longest time without news
 * @returns the VMs that no longer count as live
 */
export const listExpired = (
    records: ReadonlyMap<shared.VmId, types.MemberRecord>,
    nowMs: number,
    timeoutMs: number,
): readonly shared.VmId[] => [...records].filter(([, record]) => nowMs - record.seenAtMs > timeoutMs).map(([vm]) => vm);

/**
 * Writes the facts about members on which owners depend as one text, which is equal as long as the owners are.
 *
 * @param members - live members
 * @returns the text
 */
export const formatOwnershipInputs = (members: ReadonlyMap<shared.VmId, types.Member>): string =>
    [...members.values()]
        .map(({ info }) => [info.vm, info.incarnation, info.state, info.zone, info.address, info.control].join(" "))
        .sort()
        .join("\n");
