/**
 * The command `targets`: state and load of each target.
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

type TargetsAnswer = entryVms.VmAnswer<"admin.targets">;

interface ReportedTarget extends peers.TargetStatus {
    readonly reportedBy: types.VmId;
}

const listReported = (answers: readonly TargetsAnswer[]): ReportedTarget[] =>
    answers.flatMap(({ listed, answer }) =>
        answer.kind === "failed" ? [] : answer.result.targets.map(target => ({ ...target, reportedBy: listed.vm })),
    );

/**
 * Picks what an owner reports of its own target. Without it, what another VM knows is better than nothing. Two owners of
 * one target, which is possible while they disagree on the members, are both shown.
 */
const pickReports = (reported: readonly ReportedTarget[]): ReportedTarget[] => {
    const byTarget = new Map<types.TargetId, ReportedTarget[]>();
    for (const report of reported) {
        byTarget.set(report.target, [...(byTarget.get(report.target) ?? []), report]);
    }
    return [...byTarget.values()].flatMap(reports => {
        const own = reports.filter(report => report.owner === report.reportedBy);
        return own.length > 0 ? own : reports.slice(0, 1);
    });
};

const compareReports = (left: ReportedTarget, right: ReportedTarget): number => {
    const [a, b] = [left, right].map(report => `${report.service} ${report.zone} ${report.target} ${report.owner}`);
    return (a ?? "") < (b ?? "") ? -1 : 1;
};

const toCells = (report: ReportedTarget): string[] => [
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

const header = ["SERVICE", "ZONE", "TARGET", "STATE", "LIMIT", "IN FLIGHT", "LATENCY", "REPORT AGE", "OWNER"];

/**
 * Prints state, limit, calls in flight, age of the report and owner of each target.
 *
 * @param context - the process
 * @param connections - platform and entry VMs
 * @param options - options of the command
 * @returns the exit code
 */
export const runTargets = async (
    context: cli.CliContext,
    connections: cli.Connections,
    options: TargetsOptions,
): Promise<number> => {
    const asked = await entryVms.callEntryVms(connections, "admin.targets", {});
    if (asked.kind === "failed") {
        context.writeError(`${asked.cause}\n`);
        return exitCodes.exitFailed;
    }
    const isShown = (report: ReportedTarget): boolean =>
        options.service === undefined || report.service === (options.service as types.ServiceName);
    const reports = pickReports(listReported(asked.answers).filter(isShown)).sort(compareReports);
    const unreachable = entryVms.listUnreachable(asked.answers);
    if (options.json === true) {
        context.writeOut(`${JSON.stringify({ targets: reports, unreachable })}\n`);
    } else {
        context.writeOut(`${table.formatTable(header, reports.map(toCells))}\n`);
        unreachable.forEach(({ vm, cause }) => context.writeError(`${vm} did not answer: ${cause}\n`));
    }
    return unreachable.length === 0 ? exitCodes.exitDone : exitCodes.exitNotInOrder;
};
