/**
 * The history of one request over the logs of all entry VMs.
 */
import * as exitCodes from "./exitCodes.js";
import * as logLines from "./logLines.js";
import * as cli from "./Types.js";

/** What happened to a request's targets and to the VM this long before it may have decided its end. */
const contextMs = 3_000;

/** Messages of these parts change what a VM believes. */
const contextParts: ReadonlySet<string> = new Set(["life", "config", "state", "target", "peer"]);

export interface LogSource {
    readonly path: string;
    readonly lines: AsyncIterable<string>;
}

export interface Step {
    readonly vm: string;
    readonly atMs: number;
    readonly text: string;
    /** False for a line that is not about the request, but may explain it. */
    readonly isOwn: boolean;
}

const formatFields = (line: logLines.LogLine): string =>
    Object.entries(line.fields)
        .filter(([name]) => name !== "request")
        .map(([name, value]) => ` ${name}=${String(value)}`)
        .join("");

const isAbout = (line: logLines.LogLine, targets: ReadonlySet<unknown>): boolean =>
    contextParts.has(line.part) && (line.fields["target"] === undefined || targets.has(line.fields["target"]));

/** The lines of one VM that tell of a request or of what may have decided its end. */
const selectLines = (lines: readonly logLines.LogLine[], request: string): readonly logLines.LogLine[] => {
    const own = lines.filter(line => line.fields["request"] === request);
    const [first, last] = [own[0], own.at(-1)];
    if (first === undefined || last === undefined) {
        return [];
    }
    const targets = new Set(own.map(line => line.fields["target"]));
    return lines.filter(
        line =>
            line.fields["request"] === request ||
            (line.atMs >= first.atMs - contextMs && line.atMs <= last.atMs && isAbout(line, targets)),
    );
};

/**
 * Collects the steps of a request.
 *
 * @param sources - logs, in any number
 * @param request - the request's id
 * @returns the steps, by VM and in the order in which each VM wrote them
 */
export const collectSteps = async (sources: readonly LogSource[], request: string): Promise<readonly Step[]> => {
    const byVm = new Map<string, logLines.LogLine[]>();
    for (const { path, lines } of sources) {
        for await (const text of lines) {
            const line = logLines.parseLogLine(text);
            if (line !== undefined && (line.fields["request"] === request || contextParts.has(line.part))) {
                const vm = line.source === "" ? path : line.source;
                const list = byVm.get(vm) ?? [];
                list.push(line);
                byVm.set(vm, list);
            }
        }
    }
    return [...byVm].flatMap(([vm, lines]) =>
        selectLines(lines, request).map(line => ({
            vm,
            atMs: line.atMs,
            text: `${line.part}: ${line.message}${formatFields(line)}`,
            isOwn: line.fields["request"] === request,
        })),
    );
};

/** Times are relative to the request's first line at the same VM; clocks of two VMs cannot be compared. */
const formatSteps = (steps: readonly Step[]): string => {
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
 * @param context - the process
 * @param request - the request's id
 * @param paths - log files, `-` for standard input
 * @param options - options of the command
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
        context.writeError(`No line of these logs bears the request ${request}.\n`);
        return exitCodes.exitNotInOrder;
    }
    return exitCodes.exitDone;
};
