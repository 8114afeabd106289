/**
 * The command `explain`: what happened to a call.
 */
import * as ids from "../common/ids.js";
import * as peers from "../node/peers/Types.js";
import * as entryVms from "./entryVms.js";
import * as exitCodes from "./exitCodes.js";
import * as cli from "./Types.js";

/** Times are relative to the first step at the same VM; clocks of two VMs cannot be compared. */
const formatTrace = (trace: peers.CallTrace): string => {
    const startMs = trace.steps[0]?.atMs ?? 0;
    const steps = trace.steps.map(step => `  ${(step.atMs - startMs).toFixed(1).padStart(9)} ms  ${step.text}`);
    return [`${trace.vm}:`, ...steps].join("\n");
};

/**
 * Prints the history of a call at each entry VM that took part.
 *
 * @param context - the process
 * @param connections - platform and entry VMs
 * @param call - the id of the call
 * @param options - options of the command
 * @returns the exit code
 */
export const runExplain = async (
    context: cli.CliContext,
    connections: cli.Connections,
    call: string,
    options: cli.CommonOptions,
): Promise<number> => {
    const asked = await entryVms.callEntryVms(connections, "admin.explain", { call: ids.toCallId(call) });
    if (asked.kind === "failed") {
        context.writeError(`${asked.cause}\n`);
        return exitCodes.exitFailed;
    }
    const traces = asked.answers
        .map(({ answer }) => (answer.kind === "answered" ? answer.result.trace : undefined))
        // JSON has no undefined; a missing trace may arrive as null.
        .filter(trace => trace !== undefined && trace !== null);
    const unreachable = entryVms.listUnreachable(asked.answers);
    if (options.json === true) {
        context.writeOut(`${JSON.stringify({ traces, unreachable })}\n`);
    } else {
        traces.forEach(trace => context.writeOut(`${formatTrace(trace)}\n`));
        unreachable.forEach(({ vm, cause }) => context.writeError(`${vm} did not answer: ${cause}\n`));
        if (traces.length === 0) {
            context.writeError(`No entry VM that answered knows the call ${call}.\n`);
        }
    }
    return traces.length > 0 ? exitCodes.exitDone : exitCodes.exitNotInOrder;
};
