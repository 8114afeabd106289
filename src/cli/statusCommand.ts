/**
 * The command `status`: which revision is in force where.
 */
import * as ids from "../common/ids.js";
import * as types from "../common/Types.js";
import * as peers from "../node/peers/Types.js";
import * as headStore from "../node/publish/headStore.js";
import * as entryVms from "./entryVms.js";
import * as exitCodes from "./exitCodes.js";
import * as table from "./table.js";
import * as cli from "./Types.js";

export type VmCondition = "current" | "behind" | "not fresh" | "unreachable" | "other VM";

interface StatusRow {
    readonly vm: types.VmId;
    readonly zone: types.ZoneName;
    readonly state: "live" | "leaving";
    readonly condition: VmCondition;
    readonly revision?: types.Revision;
    readonly fresh?: boolean;
    readonly confirmedAgeMs?: number | undefined;
    readonly cause?: string;
}

type StatusAnswer = entryVms.VmAnswer<"config.status">;

const computeCondition = (listed: types.VmId, status: peers.ConfigStatus, newest: types.Revision): VmCondition => {
    if (status.vm !== listed) {
        return "other VM";
    }
    if (status.revision < newest) {
        return "behind";
    }
    return status.fresh ? "current" : "not fresh";
};

const toRow = ({ listed, answer }: StatusAnswer, newest: types.Revision): StatusRow => {
    const { vm, zone, state } = listed;
    if (answer.kind === "failed") {
        return { vm, zone, state, condition: "unreachable", cause: answer.cause };
    }
    const { revision, fresh, confirmedAgeMs } = answer.result;
    const condition = computeCondition(vm, answer.result, newest);
    const row = { vm, zone, state, condition, revision, fresh, confirmedAgeMs };
    return condition === "other VM" ? { ...row, cause: `its control address belongs to ${answer.result.vm}` } : row;
};

const computeNewest = (answers: readonly StatusAnswer[]): types.Revision =>
    ids.toRevision(
        Math.max(0, ...answers.map(({ answer }) => (answer.kind === "answered" ? answer.result.revision : 0))),
    );

const formatRows = (rows: readonly StatusRow[]): string =>
    table.formatTable(
        ["VM", "ZONE", "LIST", "REVISION", "CONFIRMED", "CONDITION"],
        rows.map(row => [
            row.vm,
            row.zone,
            row.state,
            row.revision === undefined ? "-" : String(row.revision),
            table.formatAge(row.confirmedAgeMs),
            row.cause === undefined ? row.condition : `${row.condition}: ${row.cause}`,
        ]),
    );

const formatHead = (head: headStore.HeadSnapshotResult, newest: types.Revision): string =>
    head.kind === "read"
        ? `Newest revision: ${newest}, by ${head.snapshot.head.author || "nobody"}.`
        : `Newest revision known to an entry VM: ${newest} (${head.cause}).`;

/**
 * Prints the revision in force at each entry VM.
 *
 * @param context - the process
 * @param connections - platform and entry VMs
 * @param options - options of the command
 * @returns the exit code
 */
export const runStatus = async (
    context: cli.CliContext,
    connections: cli.Connections,
    options: cli.CommonOptions,
): Promise<number> => {
    // The head is read first: a VM that adopts a newer one meanwhile does not count as behind.
    const head = await headStore.readHeadSnapshot(connections.platform.table);
    const asked = await entryVms.callEntryVms(connections, "config.status", {});
    if (asked.kind === "failed") {
        context.writeError(`${asked.cause}\n`);
        return exitCodes.exitFailed;
    }
    const newest = head.kind === "read" ? head.snapshot.head.revision : computeNewest(asked.answers);
    const rows = asked.answers.map(answer => toRow(answer, newest));
    // Adoption decides acceptance; a VM that is not fresh has adopted the revision all the same.
    const adopted = rows.filter(row => row.condition === "current" || row.condition === "not fresh").length;
    const isAccepted = adopted * 2 > rows.length;
    const isInOrder = head.kind === "read" && rows.length > 0 && rows.every(row => row.condition === "current");
    if (options.json === true) {
        const headCause = head.kind === "failed" ? head.cause : undefined;
        context.writeOut(`${JSON.stringify({ newestRevision: newest, headCause, isAccepted, entryVms: rows })}\n`);
    } else {
        const majority = `${adopted} of ${rows.length} entry VMs have it, ${isAccepted ? "a" : "not a"} majority.`;
        context.writeOut(`${formatHead(head, newest)} ${majority}\n${formatRows(rows)}\n`);
    }
    return isInOrder ? exitCodes.exitDone : exitCodes.exitNotInOrder;
};
