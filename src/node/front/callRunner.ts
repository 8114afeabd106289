/**
 * Sends a call to targets or to the owner of a cell until it gets a response or may not be retried.
 */
import * as claims from "../../common/claims/Types.js";
import * as errorFactory from "../../common/errors/errors.js";
import * as errors from "../../common/errors/Types.js";
import * as routing from "../../common/routing/Types.js";
import * as shared from "../../common/Types.js";
import type * as unsafeSwitches from "../entry/unsafeSwitches.js";
import * as bodyReader from "./bodyReader.js";
import * as peerForwarders from "./peerForwarder.js";
import * as targetForwarders from "./targetForwarder.js";
import * as types from "./Types.js";

export interface CallRunnerOptions {
    readonly dispatcher: routing.Dispatcher;
    readonly targetForwarder: targetForwarders.TargetForwarder;
    readonly peerForwarder: peerForwarders.PeerForwarder;
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
     * @param writer - writes target responses to the caller; not used for errors
     * @param signal - aborts the wait for a slot and, if the call is idempotent, an attempt
     * @returns the result of the call
     */
    run(call: types.Call, writer: types.ResponseWriter, signal: AbortSignal): Promise<claims.ClaimResult>;
}

interface Excluded {
    readonly targets: shared.TargetId[];
    readonly members: shared.VmId[];
}

const maxAttempts = 4;

/**
 * Creates the call runner of a daemon.
 *
 * @param options - dependencies of the runner
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

    const runAttempt = async (
        call: types.Call,
        writer: types.ResponseWriter,
        signal: AbortSignal,
        excluded: Excluded,
    ): Promise<types.AttemptResult> => {
        const grant = await acquire(call, signal, excluded);
        switch (grant.kind) {
            case "refused":
                traces.record(call.head.id, `no slot granted: ${grant.message}`);
                return { kind: "notRun", error: grant.error };
            case "remote":
                traces.record(call.head.id, `forwarded to ${grant.member.info.vm}, owner of ${grant.cell}`);
                excluded.members.push(grant.member.info.vm);
                return await options.peerForwarder.send(call, writer, signal, grant.member, "route");
            case "local":
                traces.record(call.head.id, `sent to ${grant.target.id}`);
                excluded.targets.push(grant.target.id);
                return await options.targetForwarder.send(call, writer, signal, grant);
        }
    };

    const mayRetry = (
        call: types.Call,
        attemptResult: types.AttemptResult,
        attemptsMade: number,
        signal: AbortSignal,
    ): boolean => {
        if (attemptResult.kind === "finished" || attemptsMade >= maxAttempts || signal.aborted) {
            return false;
        }
        if (attemptResult.kind === "unknown" && !call.isIdempotent && !options.unsafe.has("retry-non-idempotent")) {
            return false;
        }
        if (
            attemptResult.kind === "notRun" &&
            attemptResult.error !== "target_refused" &&
            attemptResult.error !== "target_unreachable"
        ) {
            return false;
        }
        return bodyReader.isReplayable(call.body) && options.retryBudget.takeRetry(call.head.service);
    };

    return {
        run: async (call, writer, signal) => {
            options.retryBudget.recordCall(call.head.service);
            const excluded: Excluded = { targets: [], members: [] };
            let mayHaveRunError: errors.ErrorKind | undefined;
            for (let attemptsMade = 1; ; attemptsMade++) {
                if (!options.crashes.isEmpty() && options.crashes.isBlocked(options.computeFingerprint(call))) {
                    return mayHaveRunError === undefined
                        ? { kind: "notRun", error: "crashes_targets" }
                        : { kind: "mayHaveRun", error: mayHaveRunError };
                }
                const attemptResult = await runAttempt(call, writer, signal, excluded);
                if (attemptResult.kind === "finished") {
                    // A peer that did not run the call does not know about the earlier attempts of this VM.
                    return attemptResult.result.kind === "notRun" && mayHaveRunError !== undefined
                        ? { kind: "mayHaveRun", error: mayHaveRunError }
                        : attemptResult.result;
                }
                if (attemptResult.kind === "unknown") {
                    mayHaveRunError = attemptResult.error;
                }
                if (!mayRetry(call, attemptResult, attemptsMade, signal)) {
                    return mayHaveRunError === undefined
                        ? { kind: "notRun", error: attemptResult.error }
                        : { kind: "mayHaveRun", error: mayHaveRunError };
                }
            }
        },
    };
};
