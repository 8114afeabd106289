/**
 * The command `status`: the revision in force on each entry VM.
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

type StatusResponse = entryVms.VmResponse<"config.status">;

const computeCondition = (listedVm: types.VmId, status: peers.ConfigStatus, newest: types.Revision): VmCondition => {
    if (status.vm !== listedVm) {
        return "other VM";
    }
    if (status.revision < newest) {
        return "behind";
    }
    return status.fresh ? "current" : "not fresh";
};

const toStatusRow = ({ listed, response }: StatusResponse, newest: types.Revision): StatusRow => {
    const { vm, zone, state } = listed;
    if (response.kind === "failed") {
        return { vm, zone, state, condition: "unreachable", cause: response.cause };
    }
    const { revision, fresh, confirmedAgeMs } = response.result;
    const condition = computeCondition(vm, response.result, newest);
    const row = { vm, zone, state, condition, revision, fresh, confirmedAgeMs };
    return condition === "other VM" ? { ...row, cause: `its control address belongs to ${response.result.vm}` } : row;
};

const computeNewestRevision = (responses: readonly StatusResponse[]): types.Revision =>
    ids.toRevision(
        Math.max(0, ...responses.map(({ response }) => (response.kind === "answered" ? response.result.revision : 0))),
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
 * Prints the revision in force on each entry VM.
 *
 * @param context - environment of the command
 * @param connections - clients for the platform and the entry VMs
 * @param options - command-line options
 * @returns the exit code
 */
export const runStatus = async (
    context: cli.CliContext,
    connections: cli.Connections,
    options: cli.CommonOptions,
): Promise<number> => {
    // The head is read first so that a VM that adopts a newer revision meanwhile does not count as behind.
    const head = await headStore.readHeadSnapshot(connections.platform.table);
    const called = await entryVms.callEntryVms(connections, "config.status", {});
    if (called.kind === "failed") {
        context.writeError(`${called.cause}\n`);
        return exitCodes.exitFailure;
    }
    const newest = head.kind === "read" ? head.snapshot.head.revision : computeNewestRevision(called.responses);
    const rows = called.responses.map(response => toStatusRow(response, newest));
    // Acceptance depends on adoption only: a VM that is not fresh has still adopted the revision.
    const adoptedCount = rows.filter(row => row.condition === "current" || row.condition === "not fresh").length;
    const isAccepted = adoptedCount * 2 > rows.length;
    const isHealthy = head.kind === "read" && rows.length > 0 && rows.every(row => row.condition === "current");
    if (options.json === true) {
        const headCause = head.kind === "failed" ? head.cause : undefined;
        context.writeOut(`${JSON.stringify({ newestRevision: newest, headCause, isAccepted, entryVms: rows })}\n`);
    } else {
        const majority = `${adoptedCount} of ${rows.length} entry VMs have it, ${isAccepted ? "a" : "not a"} majority.`;
        context.writeOut(`${formatHead(head, newest)} ${majority}\n${formatRows(rows)}\n`);
    }
    return isHealthy ? exitCodes.exitSuccess : exitCodes.exitProblemFound;
};
