/**
 * Has a call served by targets or by the owner of a cell, until it has an answer or may not be tried again.
 */
import * as claims from "../../common/claims/Types.js";
import * as errorFactory from "../../common/errors/errors.js";
import * as errors from "../../common/errors/Types.js";
import * as routing from "../../common/routing/Types.js";
import * as shared from "../../common/Types.js";
import type * as unsafeSwitches from "../entry/unsafeSwitches.js";
import * as bodyReader from "./bodyReader.js";
import * as peerSteps from "./peerStep.js";
import * as targetSteps from "./targetStep.js";
import * as types from "./Types.js";

export interface CallRunnerOptions {
    readonly dispatcher: routing.Dispatcher;
    readonly targetStep: targetSteps.TargetStep;
    readonly peerStep: peerSteps.PeerStep;
    readonly retryBudget: routing.RetryBudget;
    readonly crashes: types.CrashCounts;
    readonly traces: types.TraceStore;
    computeFingerprint(call: types.Call): string;
    readonly unsafe: unsafeSwitches.UnsafeSwitches;
}

export interface CallRunner {
    /**
     * Runs a call.
     *
     * @param call - the call
     * @param port - the way to the caller; answers are written to it, refusals are not
     * @param signal - ends waiting for a slot, and an attempt if the call is idempotent
     * @returns how the call ended
     */
    run(call: types.Call, port: types.AnswerPort, signal: AbortSignal): Promise<claims.ClaimResult>;
}

interface Excluded {
    readonly targets: shared.TargetId[];
    readonly members: shared.VmId[];
}

const maxAttempts = 4;

/**
 * Creates the runner of a daemon.
 *
 * @param options - the parts that it uses
 * @returns the runner
 */
export const createCallRunner = (options: CallRunnerOptions): CallRunner => {
    const { traces } = options;

    const acquire = async (call: types.Call, signal: AbortSignal, excluded: Excluded): Promise<routing.SlotGrant> => {
        try {
            return await options.dispatcher.acquire({
                call: call.head.id,
                service: call.head.service,
                deadlineAtMs: call.deadlineAtMs,
                exclude: excluded.targets,
                excludeMembers: excluded.members,
                mayForward: call.head.hop.kind !== "route",
                signal,
            });
        } catch (error) {
            if (errorFactory.isCallError(error)) {
                return { kind: "refused", error: error.kind, message: error.message };
            }
            throw error;
        }
    };

    const runStep = async (
        call: types.Call,
        port: types.AnswerPort,
        signal: AbortSignal,
        excluded: Excluded,
    ): Promise<types.StepResult> => {
        const grant = await acquire(call, signal, excluded);
        switch (grant.kind) {
            case "refused":
                traces.record(call.head.id, `refused: ${grant.message}`);
                return { kind: "notRun", error: grant.error };
            case "remote":
                traces.record(call.head.id, `forwarded to ${grant.member.info.vm}, owner of ${grant.cell}`);
                excluded.members.push(grant.member.info.vm);
                return await options.peerStep.send(call, port, signal, grant.member, "route");
            case "local":
                traces.record(call.head.id, `sent to ${grant.target.id}`);
                excluded.targets.push(grant.target.id);
                return await options.targetStep.send(call, port, signal, grant);
        }
    };

    const mayTryAgain = (
        call: types.Call,
        step: types.StepResult,
        attemptsMade: number,
        signal: AbortSignal,
    ): boolean => {
        if (step.kind === "finished" || attemptsMade >= maxAttempts || signal.aborted) {
            return false;
        }
        if (step.kind === "unknown" && !call.isIdempotent && !options.unsafe.has("retry-non-idempotent")) {
            return false;
        }
        if (step.kind === "notRun" && step.error !== "target_refused" && step.error !== "target_unreachable") {
            return false;
        }
        return bodyReader.isReplayable(call.body) && options.retryBudget.takeRetry(call.head.service);
    };

    return {
        run: async (call, port, signal) => {
            options.retryBudget.recordCall(call.head.service);
            const excluded: Excluded = { targets: [], members: [] };
            let unknown: errors.ErrorKind | undefined;
            for (let attemptsMade = 1; ; attemptsMade++) {
                if (!options.crashes.isEmpty() && options.crashes.isBlocked(options.computeFingerprint(call))) {
                    return unknown === undefined
                        ? { kind: "notRun", error: "crashes_targets" }
                        : { kind: "mayHaveRun", error: unknown };
                }
                const step = await runStep(call, port, signal, excluded);
                if (step.kind === "finished") {
                    // A peer that did not run the call knows nothing of the earlier attempts.
                    return step.result.kind === "notRun" && unknown !== undefined
                        ? { kind: "mayHaveRun", error: unknown }
                        : step.result;
                }
                if (step.kind === "unknown") {
                    unknown = step.error;
                }
                if (!mayTryAgain(call, step, attemptsMade, signal)) {
                    return unknown === undefined
                        ? { kind: "notRun", error: step.error }
                        : { kind: "mayHaveRun", error: unknown };
                }
            }
        },
    };
};
