/**
 * Read-only views of targets and cells for operators, probes and gossip.
 */
import * as membership from "../membership/Types.js";
import * as shared from "../Types.js";
import * as cellEntry from "./cellEntry.js";
import * as cellTables from "./cellTable.js";
import * as types from "./Types.js";

/**
 * Lists the configured targets.
 *
 * @param table - targets and cells
 * @returns one view per target
 */
export const listTargetViews = (table: cellTables.CellTable): readonly types.TargetView[] => {
    const list: types.TargetView[] = [];
    for (const entry of table.listTargets()) {
        if (table.isConfigured(entry)) {
            list.push({
                target: entry.config,
                service: entry.service,
                state: entry.health.state,
                limit: entry.limit,
                inFlight: entry.inFlight,
                latencyMs: entry.latencyMs,
                reportedAtMs: entry.reportedAtMs,
                lastReport: entry.lastReport,
                owned: entry.owned,
            });
        }
    }
    return list;
};

/**
 * Lists the loads of the cells in which this entry VM owns targets.
 *
 * @param table - targets and cells
 * @param owner - this entry VM
 * @param nowMs - local monotonic time
 * @param updateCell - updates the limits of a cell
 * @returns one load per cell
 */
export const listCellLoads = (
    table: cellTables.CellTable,
    owner: shared.VmId,
    nowMs: number,
    updateCell: (cell: cellEntry.CellEntry, nowMs: number) => void,
): readonly membership.CellLoad[] => {
    const loads: membership.CellLoad[] = [];
    for (const cell of table.listCells()) {
        if (cell.ownedTargets.length === 0) {
            continue;
        }
        updateCell(cell, nowMs);
        const { freeSlots, expectedWaitMs } = cellEntry.computeCapacity(cell);
        const queued = cell.queue.count();
        loads.push({ cell: cell.id, owner, freeSlots, queued, expectedWaitMs, measuredAtMs: nowMs });
    }
    return loads;
};
