/**
 * The members as this entry VM knows them, itself included, and what is derived from them on the blackboard.
 */
import * as blackboards from "../../common/blackboard/Types.js";
import * as freshness from "../../common/freshness/Types.js";
import * as memberTable from "../../common/membership/memberTable.js";
import * as ownership from "../../common/membership/ownership.js";
import * as publishedLoads from "../../common/membership/publishedLoads.js";
import * as membership from "../../common/membership/Types.js";
import * as shared from "../../common/Types.js";
import * as gossipCodec from "./gossipCodec.js";

export interface MembersOptions {
    readonly blackboard: blackboards.Blackboard;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly memberTimeoutMs: number;
    readonly listCellLoads: () => readonly membership.CellLoad[];
    /** Epoch of the idempotency keys that this VM issues now. */
    readonly getKeyEpoch: () => number;
}

export interface Members {
    /** Brings this VM's own record up to date, with its loads if they may be sent again. */
    refreshSelf(): void;
    /** The same, and writes the blackboard. */
    updateSelf(): void;
    /** Merges news and writes the blackboard. */
    apply(records: readonly membership.MemberRecord[]): void;
    /** Drops members without news, except in the grace period after a pause of this process. */
    removeExpired(): void;
    getKnown(): gossipCodec.KnownMembers;
    listControls(): readonly shared.Address[];
    /** The member that will be lost soon unless there is news of it, if there is one. */
    findOldest(): shared.Address | undefined;
    /** What each live member has in use, this VM included. */
    getDigests(): ReadonlyMap<shared.VmId, freshness.VmDigest>;
}

/**
 * A member sends its loads at most once in this time for each cell of the configuration. The loads of all cells together
 * then cost a daemon at most about 1.4 KB/s, however many cells there are.
 */
const loadIntervalPerCellMs = 10;

/** With few cells, loads are sent at most once in this time. */
const minLoadIntervalMs = 1000;

/**
 * A member without news for this share of the timeout is asked itself. Random pulls alone lose a live member of 50 now
 * and then, because the age of its news has a long tail. With a share of 0.6, most pulls of a VM with 50 members went to
 * the same few peers.
 */
const oldShare = 0.85;

/** A gap between two checks that is longer than this means that the process was paused. */
const pauseMs = 1000;

/** After a pause all news is old at once. Members are dropped only if no news comes in this time. */
const graceMs = 2000;

const memberStates: Readonly<Record<blackboards.Lifecycle, membership.MemberState>> = {
    starting: "starting",
    serving: "serving",
    leaving: "leaving",
    stopped: "leaving",
};

/**
 * Creates the members and writes `members`, `ownership` and `cellLoads` on the blackboard from then on.
 *
 * @param options - the blackboard, time and the source of this VM's loads
 * @returns the members, with this VM only
 */
export const createMembers = (options: MembersOptions): Members => {
    const { blackboard, scheduler, logger } = options;
    const { self } = blackboard;
    const writeMembers = blackboard.members.takeWriter("gossip");
    const writeOwnership = blackboard.ownership.takeWriter("gossip");
    const writeCellLoads = blackboard.cellLoads.takeWriter("gossip");
    const records = new Map<shared.VmId, membership.MemberRecord>();
    let loadsSentAtMs = -Infinity;
    let checkedAtMs = scheduler.now();
    let graceUntilMs = -Infinity;
    let facts: string | undefined;
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

    /** Returns the loads to send: the current ones, or the last ones if the difference is small or comes too soon. */
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

    const writeLoads = (): void => {
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

    const writeOwners = (): void => {
        const configuration = blackboard.configuration.get();
        const members = blackboard.members.get();
        const nextFacts = memberTable.formatOwnershipInputs(members);
        if (nextFacts === facts && configuration === ownedConfiguration) {
            return;
        }
        facts = nextFacts;
        ownedConfiguration = configuration;
        writeOwnership(ownership.computeOwnership(members, configuration));
    };

    const writeAll = (): void => {
        refreshSelf();
        writeMembers(new Map(records));
        writeOwners();
        writeLoads();
    };

    const logChange = (before: membership.MemberRecord | undefined, after: membership.MemberRecord): void => {
        const fields = { vm: after.info.vm, incarnation: after.info.incarnation, zone: after.info.zone };
        if (before === undefined) {
            logger.info("member: joined", { ...fields, state: after.info.state });
        } else if (before.info.incarnation !== after.info.incarnation) {
            logger.info("member: replaced by a new incarnation", { ...fields, state: after.info.state });
        } else if (before.info.state !== after.info.state) {
            logger.info(after.info.state === "leaving" ? "member: is leaving" : "member: changed its state", {
                ...fields,
                state: after.info.state,
            });
        }
    };

    const mergeOne = (offered: membership.MemberRecord): void => {
        const isExpired = scheduler.now() - offered.seenAtMs > options.memberTimeoutMs;
        if (offered.info.vm === self.vm || isExpired) {
            return;
        }
        const known = records.get(offered.info.vm);
        const merged = memberTable.mergeRecord(known, offered);
        if (merged !== known) {
            records.set(offered.info.vm, merged);
            logChange(known, merged);
        }
    };

    writeAll();

    return {
        refreshSelf,
        updateSelf: writeAll,
        apply: offered => {
            offered.forEach(mergeOne);
            writeAll();
        },
        removeExpired: () => {
            const nowMs = scheduler.now();
            if (nowMs - checkedAtMs > pauseMs) {
                graceUntilMs = nowMs + graceMs;
            }
            checkedAtMs = nowMs;
            if (nowMs < graceUntilMs) {
                return;
            }
            const expired = memberTable.listExpired(records, nowMs, options.memberTimeoutMs);
            for (const vm of expired.filter(expiredVm => expiredVm !== self.vm)) {
                const isLeft = records.get(vm)?.info.state === "leaving";
                records.delete(vm);
                logger.info(isLeft ? "member: left" : "member: lost", { vm, withoutNewsMs: options.memberTimeoutMs });
            }
        },
        getKnown: () => gossipCodec.toKnownMembers(records.values()),
        findOldest: () => {
            const oldest = [...records.values()].sort((a, b) => a.seenAtMs - b.seenAtMs)[0];
            const ageMs = scheduler.now() - (oldest?.seenAtMs ?? Infinity);
            return ageMs > options.memberTimeoutMs * oldShare ? oldest?.info.control : undefined;
        },
        listControls: () => [...records.values()].map(record => record.info.control),
        getDigests: () => {
            refreshSelf();
            const digests = [...records.values()].map(({ info, seenAtMs }): [shared.VmId, freshness.VmDigest] => [
                info.vm,
                { vm: info.vm, revision: info.revision, synced: info.synced, seenAtMs },
            ]);
            return new Map(digests);
        },
    };
};
