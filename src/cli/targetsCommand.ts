/**
 * The command `targets`: the state and load of each target.
 */
import * as types from "../common/Types.js";
import * as peers from "../node/peers/Types.js";
import * as entryVms from "./entryVms.js";
import * as exitCodes from "./exitCodes.js";
import * as table from "./table.js";
import * as cli from "./Types.js";

export interface TargetsOptions extends cli.CommonOptions {
    readonly service?: string;
}

type TargetsResponse = entryVms.VmResponse<"admin.targets">;

interface TargetReport extends peers.TargetStatus {
    readonly reportedBy: types.VmId;
}

const listReports = (responses: readonly TargetsResponse[]): TargetReport[] =>
    responses.flatMap(({ listed, response }) =>
        response.kind === "failed" ? [] : response.result.targets.map(target => ({ ...target, reportedBy: listed.vm })),
    );

/**
 * Picks the owner's report of each target. Falls back to another VM's report if the owner's is missing. If two VMs both
 * claim to own a target, which can happen while they disagree on the members, both reports are shown.
 */
const pickReports = (allReports: readonly TargetReport[]): TargetReport[] => {
    const byTarget = new Map<types.TargetId, TargetReport[]>();
    for (const report of allReports) {
        byTarget.set(report.target, [...(byTarget.get(report.target) ?? []), report]);
    }
    return [...byTarget.values()].flatMap(reports => {
        const ownerReports = reports.filter(report => report.owner === report.reportedBy);
        return ownerReports.length > 0 ? ownerReports : reports.slice(0, 1);
    });
};

const compareReports = (left: TargetReport, right: TargetReport): number => {
    const [a, b] = [left, right].map(report => `${report.service} ${report.zone} ${report.target} ${report.owner}`);
    return (a ?? "") < (b ?? "") ? -1 : 1;
};

const toCells = (report: TargetReport): string[] => [
    report.service,
    report.zone,
    report.target,
    report.state,
    String(report.limit),
    String(report.inFlight),
    `${report.latencyMs.toFixed(1)} ms`,
    table.formatAge(report.reportAgeMs),
    report.owner === report.reportedBy ? report.owner : `${report.owner} (as known to ${report.reportedBy})`,
];

const columnNames = ["SERVICE", "ZONE", "TARGET", "STATE", "LIMIT", "IN FLIGHT", "LATENCY", "REPORT AGE", "OWNER"];

/**
 * Prints the state, limit, calls in flight, report age and owner of each target.
 *
 * @param context - environment of the command
 * @param connections - clients for the platform and the entry VMs
 * @param options - command-line options
 * @returns the exit code
 */
export const runTargets = async (
    context: cli.CliContext,
    connections: cli.Connections,
    options: TargetsOptions,
): Promise<number> => {
    const called = await entryVms.callEntryVms(connections, "admin.targets", {});
    if (called.kind === "failed") {
        context.writeError(`${called.cause}\n`);
        return exitCodes.exitFailure;
    }
    const isShown = (report: TargetReport): boolean =>
        options.service === undefined || report.service === (options.service as types.ServiceName);
    const reports = pickReports(listReports(called.responses).filter(isShown)).sort(compareReports);
    const unreachable = entryVms.listUnreachable(called.responses);
    if (options.json === true) {
        context.writeOut(`${JSON.stringify({ targets: reports, unreachable })}\n`);
    } else {
        context.writeOut(`${table.formatTable(columnNames, reports.map(toCells))}\n`);
        unreachable.forEach(({ vm, cause }) => context.writeError(`${vm} did not respond: ${cause}\n`));
    }
    return unreachable.length === 0 ? exitCodes.exitSuccess : exitCodes.exitProblemFound;
};
