/**
 * The command `explain`: the history of a call on each entry VM.
 */
import * as ids from "../common/ids.js";
import * as peers from "../node/peers/Types.js";
import * as entryVms from "./entryVms.js";
import * as exitCodes from "./exitCodes.js";
import * as cli from "./Types.js";

/** Times are relative to the first step on the same VM because clocks of different VMs are not comparable. */
const formatTrace = (trace: peers.CallTrace): string => {
    const startMs = trace.steps[0]?.atMs ?? 0;
    const steps = trace.steps.map(step => `  ${(step.atMs - startMs).toFixed(1).padStart(9)} ms  ${step.text}`);
    return [`${trace.vm}:`, ...steps].join("\n");
};

/**
 * Prints the history of a call on each entry VM that handled it.
 *
 * @param context - environment of the command
 * @param connections - clients for the platform and the entry VMs
 * @param call - the call ID
 * @param options - command-line options
 * @returns the exit code
 */
export const runExplain = async (
    context: cli.CliContext,
    connections: cli.Connections,
    call: string,
    options: cli.CommonOptions,
): Promise<number> => {
    const called = await entryVms.callEntryVms(connections, "admin.explain", { call: ids.toCallId(call) });
    if (called.kind === "failed") {
        context.writeError(`${called.cause}\n`);
        return exitCodes.exitFailure;
    }
    const traces = called.responses
        .map(({ response }) => (response.kind === "answered" ? response.result.trace : undefined))
        // JSON has no undefined, so a missing trace may arrive as null.
        .filter(trace => trace !== undefined && trace !== null);
    const unreachable = entryVms.listUnreachable(called.responses);
    if (options.json === true) {
        context.writeOut(`${JSON.stringify({ traces, unreachable })}\n`);
    } else {
        traces.forEach(trace => context.writeOut(`${formatTrace(trace)}\n`));
        unreachable.forEach(({ vm, cause }) => context.writeError(`${vm} did not respond: ${cause}\n`));
        if (traces.length === 0) {
            context.writeError(`No entry VM that responded knows the call ${call}.\n`);
        }
    }
    return traces.length > 0 ? exitCodes.exitSuccess : exitCodes.exitProblemFound;
};
