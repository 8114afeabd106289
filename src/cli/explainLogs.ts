/**
 * Reconstructs the history of one request from the logs of all entry VMs.
 */
import * as exitCodes from "./exitCodes.js";
import * as logLines from "./logLines.js";
import * as cli from "./Types.js";

/** Events at a request's targets and VM up to this long before its first log line may explain its outcome. */
const contextWindowMs = 3_000;

/** Log messages of these parts report changes in what the VM knows about itself and the system. */
const contextParts: ReadonlySet<string> = new Set(["life", "config", "state", "target", "peer"]);

export interface LogSource {
    readonly path: string;
    readonly lines: AsyncIterable<string>;
}

export interface LogStep {
    readonly vm: string;
    readonly atMs: number;
    readonly text: string;
    /** False for a context line: it is not about the request, but may explain its outcome. */
    readonly isOwn: boolean;
}

const formatFields = (line: logLines.LogLine): string =>
    Object.entries(line.fields)
        .filter(([name]) => name !== "request")
        .map(([name, value]) => ` ${name}=${String(value)}`)
        .join("");

const isContextLine = (line: logLines.LogLine, targets: ReadonlySet<unknown>): boolean =>
    contextParts.has(line.part) && (line.fields["target"] === undefined || targets.has(line.fields["target"]));

/** Selects one VM's lines about a request, and the lines that may explain its outcome. */
const selectRequestLines = (lines: readonly logLines.LogLine[], request: string): readonly logLines.LogLine[] => {
    const requestLines = lines.filter(line => line.fields["request"] === request);
    const [first, last] = [requestLines[0], requestLines.at(-1)];
    if (first === undefined || last === undefined) {
        return [];
    }
    const targets = new Set(requestLines.map(line => line.fields["target"]));
    return lines.filter(
        line =>
            line.fields["request"] === request ||
            (line.atMs >= first.atMs - contextWindowMs && line.atMs <= last.atMs && isContextLine(line, targets)),
    );
};

/**
 * Collects the steps of a request from logs.
 *
 * @param sources - the logs to search
 * @param request - the request's ID
 * @returns the steps, grouped by VM, in the order in which each VM logged them
 */
export const collectSteps = async (sources: readonly LogSource[], request: string): Promise<readonly LogStep[]> => {
    const linesByVm = new Map<string, logLines.LogLine[]>();
    for (const { path, lines } of sources) {
        for await (const text of lines) {
            const line = logLines.parseLogLine(text);
            if (line !== undefined && (line.fields["request"] === request || contextParts.has(line.part))) {
                const vm = line.source === "" ? path : line.source;
                const vmLines = linesByVm.get(vm) ?? [];
                vmLines.push(line);
                linesByVm.set(vm, vmLines);
            }
        }
    }
    return [...linesByVm].flatMap(([vm, lines]) =>
        selectRequestLines(lines, request).map(line => ({
            vm,
            atMs: line.atMs,
            text: `${line.part}: ${line.message}${formatFields(line)}`,
            isOwn: line.fields["request"] === request,
        })),
    );
};

/** Times are relative to the request's first line on the same VM because clocks of different VMs are not comparable. */
const formatSteps = (steps: readonly LogStep[]): string => {
    const startMs = new Map<string, number>();
    let text = "";
    let vm: string | undefined;
    for (const step of steps.filter(({ isOwn }) => isOwn)) {
        startMs.set(step.vm, startMs.get(step.vm) ?? step.atMs);
    }
    for (const step of steps) {
        text += step.vm === vm ? "" : `${step.vm}:\n`;
        vm = step.vm;
        const atMs = step.atMs - (startMs.get(step.vm) ?? step.atMs);
        text += `  ${atMs.toFixed(0).padStart(7)} ms ${step.isOwn ? " " : "~"} ${step.text}\n`;
    }
    return text;
};

/**
 * Prints the history of a request from logs.
 *
 * @param context - environment of the command
 * @param request - the request's ID
 * @param paths - log files; `-` means standard input
 * @param options - command-line options
 * @returns the exit code
 */
export const runExplainLogs = async (
    context: cli.CliContext,
    request: string,
    paths: readonly string[],
    options: cli.CommonOptions,
): Promise<number> => {
    const sources = paths.map(path => ({ path, lines: context.readLogLines(path) }));
    const steps = await collectSteps(sources, request);
    context.writeOut(options.json === true ? `${JSON.stringify({ steps })}\n` : formatSteps(steps));
    if (steps.length === 0) {
        context.writeError(`No line in these logs belongs to request ${request}.\n`);
        return exitCodes.exitProblemFound;
    }
    return exitCodes.exitSuccess;
};
