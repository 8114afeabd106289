/**
 * Lists the local and remote cells that could serve a call, with the cost of each.
 */
import * as blackboards from "../blackboard/Types.js";
import * as membership from "../membership/Types.js";
import * as cellEntry from "./cellEntry.js";
import * as cellTables from "./cellTable.js";
import * as spillOver from "./spillOver.js";
import * as types from "./Types.js";

export interface OptionList {
    /** Lists local cells, and cells of other owners if the call may be forwarded. Limits must be up to date. */
    list(
        service: cellTables.ServiceEntry,
        request: types.SlotRequest,
        nowMs: number,
    ): readonly spillOver.CellOption<cellEntry.CellEntry>[];
    /** Counts a call that was forwarded to a cell. */
    recordForward(cell: cellEntry.CellEntry, member: membership.Member): void;
}

/** Higher than any real cost: a cell with a full queue is picked only as a last resort, and then refuses the call. */
const fullQueueCostMs = Number.MAX_VALUE;

interface ForwardCount {
    readonly measuredAtMs: number;
    count: number;
}

/**
 * Creates the list of routing options.
 *
 * @param blackboard - this entry VM and the loads of remote cells
 * @param table - the cells
 * @param allowSpillOver - whether a call may go to another zone while its own zone has an owner
 * @returns the list, computed for each call
 */
export const createOptionList = (
    blackboard: blackboards.Blackboard,
    table: cellTables.CellTable,
    allowSpillOver: boolean,
): OptionList => {
    const self = blackboard.self;
    const forwardCounts = new Map<string, ForwardCount>();

    const findLoad = (cell: cellEntry.CellEntry, member: membership.Member): membership.CellLoad | undefined =>
        blackboard.cellLoads
            .get()
            .get(cell.id)
            ?.find(load => load.owner === member.info.vm);

    const getForwardCount = (cell: cellEntry.CellEntry, member: membership.Member): ForwardCount => {
        const key = `${cell.id} ${member.info.vm}`;
        const measuredAtMs = findLoad(cell, member)?.measuredAtMs ?? -Infinity;
        const known = forwardCounts.get(key);
        if (known?.measuredAtMs === measuredAtMs) {
            return known;
        }
        const created = { measuredAtMs, count: 0 };
        forwardCounts.set(key, created);
        return created;
    };

    const isExcluded = (cell: cellEntry.CellEntry, request: types.SlotRequest): boolean =>
        request.exclude.length > 0 && cell.targets.every(entry => request.exclude.includes(entry.config.id));

    const computeRemoteCostMs = (
        cell: cellEntry.CellEntry,
        member: membership.Member,
        meanLatencyMs: number,
        nowMs: number,
    ): number => {
        const remote: spillOver.RemoteCell = {
            load: findLoad(cell, member),
            forwarded: getForwardCount(cell, member).count,
            slots: cell.targets.reduce((sum, entry) => sum + entry.config.slots, 0),
            meanLatencyMs,
            isHomeCell: cell.zone === self.zone,
        };
        const linkMs = table.getDelayMs(self.zone, member.info.zone) + table.getDelayMs(member.info.zone, cell.zone);
        return 2 * linkMs + spillOver.computeRemoteWaitMs(remote, nowMs);
    };

    const computeLocalCostMs = (cell: cellEntry.CellEntry, request: types.SlotRequest): number => {
        if (cell.ownedTargets.every(entry => request.exclude.includes(entry.config.id))) {
            return Infinity;
        }
        if (cell.queue.count() >= cell.queueLimit) {
            return fullQueueCostMs;
        }
        return 2 * table.getDelayMs(self.zone, cell.zone) + cellEntry.computeCapacity(cell).expectedWaitMs;
    };

    return {
        list: (service, request, nowMs) => {
            const options: spillOver.CellOption<cellEntry.CellEntry>[] = [];
            const homeCell = service.homeCell;
            const mustStayInZone =
                !allowSpillOver &&
                homeCell !== undefined &&
                (homeCell.ownedTargets.length > 0 || homeCell.otherOwners.length > 0);
            const meanLatencyMs = (homeCell ?? service.cells[0])?.meanLatencyMs ?? 0;
            for (const cell of service.cells) {
                if ((mustStayInZone && cell !== homeCell) || isExcluded(cell, request)) {
                    continue;
                }
                if (cell.ownedTargets.length > 0) {
                    options.push({ kind: "local", cell, costMs: computeLocalCostMs(cell, request) });
                }
                for (const member of request.mayForward ? cell.otherOwners : []) {
                    if (request.excludeMembers.includes(member.info.vm)) {
                        continue;
                    }
                    const costMs = computeRemoteCostMs(cell, member, meanLatencyMs, nowMs);
                    options.push({ kind: "remote", cell, costMs, member });
                }
            }
            return options;
        },
        recordForward: (cell, member) => void getForwardCount(cell, member).count++,
    };
};
