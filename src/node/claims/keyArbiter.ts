/**
 * Applies the arbiter's decisions to the key table and resolves waiting requests.
 */
import * as arbiter from "../../common/claims/arbiter.js";
import * as keyTable from "../../common/claims/keyTable.js";
import * as claims from "../../common/claims/Types.js";
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

type ResultResolver = (result: claims.ClaimResult) => void;

const toKnownOutcome = (state: claims.KeyState): claims.KnownOutcome => {
    switch (state.kind) {
        case "notRun":
            return "notRun";
        case "done":
            return "ran";
        case "running":
        case "mayHaveRun":
            return "mayHaveRun";
    }
};

/**
 * Creates an arbiter with an empty key table.
 *
 * @param clock - local monotonic clock; epoch 0 starts now
 * @param limits - limits of the key table
 * @param logger - logs the removal of expired keys
 * @returns the arbiter
 */
export const createKeyArbiter = (
    clock: shared.Clock,
    limits: types.ClaimLimits,
    logger: shared.Logger,
): types.KeyArbiter => {
    const table = keyTable.createKeyTable(limits);
    // Keyed by attempt, not by key: the table can drop a foreign key while it runs, and the key can then begin again.
    const waiters = new Map<number, ResultResolver[]>();
    const startedAtMs = clock.now();
    let oldestEpoch = 0;
    let lastAttempt = 0;

    const computeEpoch = (): number => Math.floor((clock.now() - startedAtMs) / arbiter.epochMs);

    const removeExpired = (): void => {
        const oldest = arbiter.computeOldestEpoch(computeEpoch(), limits.keyRetentionMs);
        if (oldest <= oldestEpoch) {
            return;
        }
        oldestEpoch = oldest;
        const removed = table.removeEpochsBefore(oldest);
        logger.info(`claim: removed keys of epochs before ${oldest}`, { keys: removed });
    };

    const waitForResult = (attempt: number): Promise<claims.ClaimResult> =>
        new Promise(resolve => {
            const resolvers = waiters.get(attempt) ?? [];
            resolvers.push(resolve);
            waiters.set(attempt, resolvers);
        });

    const resolveWaiters = (attempt: number, result: claims.ClaimResult): void => {
        const resolvers = waiters.get(attempt) ?? [];
        waiters.delete(attempt);
        for (const resolve of resolvers) {
            resolve(result);
        }
    };

    const begin = (
        key: claims.KeyId,
        signature: claims.RequestSignature,
        epoch: number,
        status: claims.EpochStatus,
    ): types.ArbiterDecision => {
        const attempt = lastAttempt + 1;
        const event = { kind: "begin", signature, attempt, epoch: status, hasRoom: table.hasRoom() } as const;
        const { state, decision } = arbiter.applyKeyEvent(table.get(epoch, key), event);
        switch (decision.kind) {
            case "run":
                lastAttempt = attempt;
                table.set(epoch, key, state);
                return { kind: "run", run: { key, epoch, attempt } };
            case "wait":
                return { kind: "wait", result: waitForResult(decision.attempt) };
            case "replay":
                return { kind: "replay", response: table.findResponse(key) ?? createEmptyResponse(decision.status) };
            case "refuse":
                return decision;
            case "recorded":
            case "ignored":
                throw new Error(`unexpected decision ${decision.kind} for a begin event`);
        }
    };

    const finish = (run: types.ClaimRun, result: claims.ClaimResult, end: claims.KeyEnd): void => {
        const event = { kind: "finish", attempt: run.attempt, end } as const;
        const { state, decision } = arbiter.applyKeyEvent(table.get(run.epoch, run.key), event);
        if (decision.kind === "recorded") {
            table.set(run.epoch, run.key, state);
            if (result.kind === "done") {
                table.addResponse(run.epoch, run.key, result.response);
            }
        }
        resolveWaiters(run.attempt, result);
    };

    const findIssued = (key: claims.KeyId, epoch: number): claims.KnownOutcome => {
        switch (arbiter.computeEpochStatus(epoch, computeEpoch(), oldestEpoch)) {
            case "live":
                return toKnownOutcome(table.get(epoch, key));
            case "expired":
                return "mayHaveRun";
            case "unissued":
                return "notRun";
        }
    };

    const findForeign = (key: claims.KeyId): claims.KnownOutcome => {
        const epoch = table.findEpoch(key);
        return epoch === undefined ? "unknown" : toKnownOutcome(table.get(epoch, key));
    };

    return {
        computeEpoch,
        findIssued,
        findForeign,
        beginIssued: (key, signature, epoch) => {
            removeExpired();
            const status = arbiter.computeEpochStatus(epoch, computeEpoch(), oldestEpoch);
            return begin(key, signature, epoch, status);
        },
        beginForeign: (key, signature) => {
            removeExpired();
            return begin(key, signature, table.findEpoch(key) ?? computeEpoch(), "live");
        },
        finish: (run, result, end) => {
            const normalized = toNormalizedResult(result);
            finish(run, normalized, end ?? toKeyEnd(normalized));
        },
        measure: () => {
            removeExpired();
            return table.measure();
        },
    };
};

/**
 * Creates the response to replay for a request whose response is no longer kept.
 *
 * @param status - HTTP status of the original response
 * @returns a response without headers and body
 */
export const createEmptyResponse = (status: number): claims.KeptResponse => ({ status, headers: [], body: undefined });

const toNormalizedResult = (result: claims.ClaimResult): claims.ClaimResult =>
    result.kind === "mayHaveRun" ? { kind: "mayHaveRun", error: arbiter.pickMayHaveRunError(result.error) } : result;

/**
 * Reduces the result of a claim to the part that the state of the key depends on.
 *
 * @param result - result of the claim
 * @returns the end of the attempt
 */
export const toKeyEnd = (result: claims.ClaimResult): claims.KeyEnd => {
    switch (result.kind) {
        case "done":
            return { kind: "done", status: result.response.status };
        case "notRun":
            return { kind: "notRun" };
        case "mayHaveRun":
            return { kind: "mayHaveRun", error: arbiter.pickMayHaveRunError(result.error) };
    }
};
