/**
 * Merges information about members.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

/**
 * Merges a received record of a VM with the known one.
 *
 * For the same incarnation, the record with the greater version and the later of the two times are kept. Incarnations
 * of a VM run one after another, so the one seen last is the current one.
 *
 * @param known - the known record, if any
 * @param received - the received record
 * @returns the merged record, the same object as `known` if nothing changes
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
 * Lists the VMs that have not been seen within the timeout.
 *
 * @param records - all records
 * @param nowMs - local monotonic time
 * @param timeoutMs - longest time since a VM was last seen
 * @returns the VMs that no longer count as live
 */
export const listExpired = (
    records: ReadonlyMap<shared.VmId, types.MemberRecord>,
    nowMs: number,
    timeoutMs: number,
): readonly shared.VmId[] => [...records].filter(([, record]) => nowMs - record.seenAtMs > timeoutMs).map(([vm]) => vm);

/**
 * Formats the properties of members that determine ownership. Equal texts mean that the owners have not changed.
 *
 * @param members - live members
 * @returns the text
 */
export const formatOwnershipInputs = (members: ReadonlyMap<shared.VmId, types.Member>): string =>
    [...members.values()]
        .map(({ info }) => [info.vm, info.incarnation, info.state, info.zone, info.address, info.control].join(" "))
        .sort()
        .join("\n");
