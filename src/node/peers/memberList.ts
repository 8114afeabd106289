/**
 * The list of members that this entry VM knows, itself included, and the blackboard entries derived from it.
 */
import * as blackboards from "../../common/blackboard/Types.js";
import * as freshness from "../../common/freshness/Types.js";
import * as memberTable from "../../common/membership/memberTable.js";
import * as ownership from "../../common/membership/ownership.js";
import * as publishedLoads from "../../common/membership/publishedLoads.js";
import * as membership from "../../common/membership/Types.js";
import * as shared from "../../common/Types.js";
import * as gossipCodec from "./gossipCodec.js";

export interface MemberListOptions {
    readonly blackboard: blackboards.Blackboard;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly memberTimeoutMs: number;
    readonly listCellLoads: () => readonly membership.CellLoad[];
    /** Epoch of the idempotency keys that this VM issues now. */
    readonly getKeyEpoch: () => number;
}

export interface MemberList {
    /** Updates this VM's own record, with its loads if they are due to be sent again. */
    refreshSelf(): void;
    /** Updates this VM's own record and writes the blackboard. */
    updateSelf(): void;
    /** Merges received records and writes the blackboard. */
    mergeRecords(records: readonly membership.MemberRecord[]): void;
    /** Removes members whose timeout has passed, except in the grace period after a pause of this process. */
    removeExpired(): void;
    getKnownMembers(): gossipCodec.KnownMembers;
    listControlAddresses(): readonly shared.Address[];
    /** Returns the control address of the member seen longest ago, if it is close to its timeout. */
    findExpiring(): shared.Address | undefined;
    /** Returns the revision in use on each live member, this VM included. */
    getVmDigests(): ReadonlyMap<shared.VmId, freshness.VmDigest>;
}

/**
 * Minimum interval between two updates of a member's loads, for each cell of the configuration. It limits the loads of
 * all cells together to about 1.4 KB/s for each daemon, regardless of the number of cells.
 */
const loadIntervalPerCellMs = 10;

/** Lower bound of the interval between two updates of a member's loads; applies with few cells. */
const minLoadIntervalMs = 1000;

/**
 * A member that was last seen longer ago than this share of the timeout is pulled from directly. With random pulls
 * alone, a live member of 50 occasionally times out, because the age of its record has a long-tailed distribution. With
 * a share of 0.6, most pulls of a VM with 50 members go to the same few peers.
 */
const directPullShare = 0.85;

/** A longer gap between two checks means that the process was paused. */
const pauseThresholdMs = 1000;

/** After a pause all records are out of date at once; members are removed only if not seen again within this time. */
const pauseGraceMs = 2000;

const memberStates: Readonly<Record<blackboards.LifecycleState, membership.MemberState>> = {
    starting: "starting",
    serving: "serving",
    leaving: "leaving",
    stopped: "leaving",
};

/**
 * Creates the member list, which writes `members`, `ownership` and `cellLoads` on the blackboard.
 *
 * @param options - the blackboard, the scheduler and the source of this VM's loads
 * @returns the member list, containing only this VM
 */
export const createMemberList = (options: MemberListOptions): MemberList => {
    const { blackboard, scheduler, logger } = options;
    const { self } = blackboard;
    const writeMembers = blackboard.members.takeWriter("gossip");
    const writeOwnership = blackboard.ownership.takeWriter("gossip");
    const writeCellLoads = blackboard.cellLoads.takeWriter("gossip");
    const records = new Map<shared.VmId, membership.MemberRecord>();
    let loadsSentAtMs = -Infinity;
    let checkedAtMs = scheduler.now();
    let graceUntilMs = -Infinity;
    let ownershipInputs: string | undefined;
    let ownedConfiguration = blackboard.configuration.get();

    const computeInfo = (): membership.MemberInfo => {
        const { revision, confirmedAtMs } = blackboard.freshness.get();
        return {
            vm: self.vm,
            incarnation: self.incarnation,
            zone: self.zone,
            address: self.address,
            control: self.control,
            state: memberStates[blackboard.lifecycle.get()],
            revision,
            synced: confirmedAtMs !== undefined,
            epoch: options.getKeyEpoch(),
        };
    };

    /** Returns the loads to send: the current ones, or the last ones if the change is insignificant or not yet due. */
    const selectLoads = (known: membership.MemberRecord | undefined): string => {
        const configuration = blackboard.configuration.get();
        if (configuration === undefined) {
            return "";
        }
        const nowMs = scheduler.now();
        const cellCount = publishedLoads.listCells(configuration).length;
        const isDue = nowMs - loadsSentAtMs >= Math.max(minLoadIntervalMs, cellCount * loadIntervalPerCellMs);
        const isSameRevision = known?.info.revision === configuration.revision;
        if (known !== undefined && isSameRevision && !isDue) {
            return known.loads;
        }
        const current = publishedLoads.formatLoads(configuration, options.listCellLoads());
        if (known !== undefined && isSameRevision && !publishedLoads.hasSignificantChange(known.loads, current)) {
            return known.loads;
        }
        loadsSentAtMs = nowMs;
        return current;
    };

    const refreshSelf = (): void => {
        const known = records.get(self.vm);
        const info = computeInfo();
        const loads = selectLoads(known);
        const isSame =
            known !== undefined &&
            known.info.state === info.state &&
            known.info.revision === info.revision &&
            known.info.synced === info.synced &&
            known.info.epoch === info.epoch &&
            known.loads === loads;
        const version = (known?.version ?? 0) + (isSame ? 0 : 1);
        records.set(self.vm, { info, seenAtMs: scheduler.now(), version, loads });
    };

    const updateCellLoads = (): void => {
        const byCell = new Map<shared.CellId, membership.CellLoad[]>();
        const configuration = blackboard.configuration.get();
        for (const { info, loads, seenAtMs } of records.values()) {
            if (info.vm === self.vm || configuration === undefined || info.revision !== configuration.revision) {
                continue;
            }
            for (const load of publishedLoads.parseLoads(configuration, loads)) {
                const list = byCell.get(load.cell) ?? [];
                list.push({ ...load, owner: info.vm, measuredAtMs: seenAtMs });
                byCell.set(load.cell, list);
            }
        }
        if (byCell.size > 0 || blackboard.cellLoads.get().size > 0) {
            writeCellLoads(byCell);
        }
    };

    const updateOwnership = (): void => {
        const configuration = blackboard.configuration.get();
        const members = blackboard.members.get();
        const nextInputs = memberTable.formatOwnershipInputs(members);
        if (nextInputs === ownershipInputs && configuration === ownedConfiguration) {
            return;
        }
        ownershipInputs = nextInputs;
        ownedConfiguration = configuration;
        writeOwnership(ownership.computeOwnership(members, configuration));
    };

    const updateAll = (): void => {
        refreshSelf();
        writeMembers(new Map(records));
        updateOwnership();
        updateCellLoads();
    };

    const logChange = (before: membership.MemberRecord | undefined, after: membership.MemberRecord): void => {
        const fields = { vm: after.info.vm, incarnation: after.info.incarnation, zone: after.info.zone };
        if (before === undefined) {
            logger.info("member: joined", { ...fields, state: after.info.state });
        } else if (before.info.incarnation !== after.info.incarnation) {
            logger.info("member: replaced by a new incarnation", { ...fields, state: after.info.state });
        } else if (before.info.state !== after.info.state) {
            logger.info(after.info.state === "leaving" ? "member: leaving" : "member: state changed", {
                ...fields,
                state: after.info.state,
            });
        }
    };

    const mergeRecord = (received: membership.MemberRecord): void => {
        const isExpired = scheduler.now() - received.seenAtMs > options.memberTimeoutMs;
        if (received.info.vm === self.vm || isExpired) {
            return;
        }
        const known = records.get(received.info.vm);
        const merged = memberTable.mergeRecord(known, received);
        if (merged !== known) {
            records.set(received.info.vm, merged);
            logChange(known, merged);
        }
    };

    updateAll();

    return {
        refreshSelf,
        updateSelf: updateAll,
        mergeRecords: received => {
            received.forEach(mergeRecord);
            updateAll();
        },
        removeExpired: () => {
            const nowMs = scheduler.now();
            if (nowMs - checkedAtMs > pauseThresholdMs) {
                graceUntilMs = nowMs + pauseGraceMs;
            }
            checkedAtMs = nowMs;
            if (nowMs < graceUntilMs) {
                return;
            }
            const expired = memberTable.listExpired(records, nowMs, options.memberTimeoutMs);
            for (const vm of expired.filter(expiredVm => expiredVm !== self.vm)) {
                const hasLeft = records.get(vm)?.info.state === "leaving";
                records.delete(vm);
                logger.info(hasLeft ? "member: left" : "member: lost", { vm, withoutNewsMs: options.memberTimeoutMs });
            }
        },
        getKnownMembers: () => gossipCodec.toKnownMembers(records.values()),
        findExpiring: () => {
            const oldest = [...records.values()].sort((a, b) => a.seenAtMs - b.seenAtMs)[0];
            const ageMs = scheduler.now() - (oldest?.seenAtMs ?? Infinity);
            return ageMs > options.memberTimeoutMs * directPullShare ? oldest?.info.control : undefined;
        },
        listControlAddresses: () => [...records.values()].map(record => record.info.control),
        getVmDigests: () => {
            refreshSelf();
            const digests = [...records.values()].map(({ info, seenAtMs }): [shared.VmId, freshness.VmDigest] => [
                info.vm,
                { vm: info.vm, revision: info.revision, synced: info.synced, seenAtMs },
            ]);
            return new Map(digests);
        },
    };
};
