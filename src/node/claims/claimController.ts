/**
 * Decides which requests with an idempotency key may be sent to a target.
 */
import * as keys from "../../common/claims/keys.js";
import * as claims from "../../common/claims/Types.js";
import * as errorTable from "../../common/errors/errorTable.js";
import * as errors from "../../common/errors/errors.js";
import * as errorTypes from "../../common/errors/Types.js";
import * as shared from "../../common/Types.js";
import * as claimStore from "./claimStore.js";
import * as keyArbiter from "./keyArbiter.js";
import * as types from "./Types.js";

/**
 * Creates the claim controller of one entry daemon.
 *
 * @param options - the incarnation, its platform and its limits
 * @returns the controller
 */
export const createClaimController = (options: types.ClaimControllerOptions): claims.ClaimController => {
    const { incarnation, logger } = options;
    const arbiter = keyArbiter.createKeyArbiter(options.scheduler, options.limits, logger);
    const store = claimStore.createClaimStore(options);
    let isDisposed = false;
    // Throws on startup rather than on the first lookup if the incarnation is not valid in a key.
    keys.formatKeyPrefix(incarnation, 0);

    const createClaim = (run: types.ClaimRun, settle?: (end: claims.KeyEnd) => void): claims.Claim => {
        let isFinished = false;
        return {
            key: run.key,
            finish: result => {
                if (isFinished) {
                    logger.warn(`claim: key ${run.key}: attempt finished more than once; ignored`, {
                        attempt: run.attempt,
                    });
                    return;
                }
                isFinished = true;
                arbiter.finish(run, result);
                settle?.(keyArbiter.toKeyEnd(result));
                logger.info(`claim: key ${run.key}: attempt finished`, { attempt: run.attempt, result: result.kind });
            },
        };
    };

    const beginIssued = (key: claims.KeyId, request: claims.ClaimRequest, epoch: number): claims.ClaimDecision => {
        const decision = arbiter.beginIssued(key, request.signature, epoch);
        return decision.kind === "run" ? { kind: "run", claim: createClaim(decision.run) } : decision;
    };

    const finishTakenKey = (run: types.ClaimRun, decision: claims.TakenDecision): claims.ClaimDecision => {
        switch (decision.kind) {
            case "replay": {
                const response = keyArbiter.createEmptyResponse(decision.status);
                arbiter.finish(run, { kind: "done", response });
                return { kind: "replay", response };
            }
            case "refuse": {
                // Recorded as not run, so that the next resend of the request asks the table service again.
                const kind = errorTable.errorTable[decision.error].outcome === "not-run" ? "notRun" : "mayHaveRun";
                arbiter.finish(run, { kind, error: decision.error }, { kind: "notRun" });
                return decision;
            }
        }
    };

    const finishFailedClaim = (run: types.ClaimRun, message: string): claims.ClaimDecision => {
        const error = "claim_store_unavailable";
        arbiter.finish(run, { kind: "notRun", error });
        return createRefusal(error, message);
    };

    const claimForeign = async (run: types.ClaimRun, request: claims.ClaimRequest): Promise<claims.ClaimDecision> => {
        const rowKey = keys.formatClaimRowKey(request.service, request.key);
        const claim = await store.claim(rowKey, request.signature);
        switch (claim.kind) {
            case "granted":
                return { kind: "run", claim: createClaim(run, end => claim.settle(end)) };
            case "taken":
                return finishTakenKey(run, claim.decision);
            case "failed":
                return finishFailedClaim(run, claim.message);
        }
    };

    const beginForeign = async (key: claims.KeyId, request: claims.ClaimRequest): Promise<claims.ClaimDecision> => {
        const decision = arbiter.beginForeign(key, request.signature);
        if (decision.kind !== "run") {
            return decision;
        }
        try {
            return await claimForeign(decision.run, request);
        } catch (error) {
            logger.error(`claim: key ${key}: claim failed with an exception`, { error: String(error) });
            return finishFailedClaim(decision.run, "The key could not be claimed.");
        }
    };

    const begin = async (key: claims.KeyId, request: claims.ClaimRequest): Promise<claims.ClaimDecision> => {
        if (isDisposed) {
            return createRefusal("leaving", "The entry VM is leaving.");
        }
        const origin = keys.parseKeyOrigin(request.key);
        if (origin.kind === "foreign") {
            return beginForeign(key, request);
        }
        if (origin.incarnation !== incarnation) {
            return { kind: "forward", incarnation: origin.incarnation };
        }
        return beginIssued(key, request, origin.epoch);
    };

    const beginOrRefuse = async (key: claims.KeyId, request: claims.ClaimRequest): Promise<claims.ClaimDecision> => {
        try {
            return await begin(key, request);
        } catch (error) {
            if (errors.isCallError(error)) {
                return createRefusal(error.kind, error.message);
            }
            throw error;
        }
    };

    const findOutcome = (service: shared.ServiceName, text: string): claims.KnownOutcome => {
        const key = keys.computeKeyId(service, text);
        const origin = keys.parseKeyOrigin(text);
        if (origin.kind === "foreign") {
            return arbiter.findForeign(key);
        }
        return origin.incarnation === incarnation ? arbiter.findIssued(key, origin.epoch) : "unknown";
    };

    return {
        findOutcome,
        issueKeyPrefix: () => {
            const mayIssue = !isDisposed && (options.mayIssue?.() ?? true);
            return mayIssue ? keys.formatKeyPrefix(incarnation, arbiter.computeEpoch()) : undefined;
        },
        begin: async request => {
            const key = keys.computeKeyId(request.service, request.key);
            const decision = await beginOrRefuse(key, request);
            logDecision(logger, key, request.service, decision);
            return decision;
        },
        getEpoch: () => arbiter.computeEpoch(),
        measure: () => arbiter.measure(),
        dispose: () => {
            isDisposed = true;
            store.dispose();
        },
    };
};

const createRefusal = (error: errorTypes.ErrorKind, message: string): claims.ClaimDecision => ({
    kind: "refuse",
    error,
    message,
});

const logDecision = (
    logger: shared.Logger,
    key: claims.KeyId,
    service: shared.ServiceName,
    decision: claims.ClaimDecision,
): void => {
    switch (decision.kind) {
        case "run":
            logger.info(`claim: key ${key}: request may run`, { service });
            return;
        case "wait":
            logger.info(`claim: key ${key}: already running, the request waits for the result`, { service });
            return;
        case "replay":
            logger.info(`claim: key ${key}: already ran, the response is replayed`, {
                service,
                status: decision.response.status,
            });
            return;
        case "forward":
            logger.info(`claim: key ${key}: forwarded to its arbiter`, { service, incarnation: decision.incarnation });
            return;
        case "refuse":
            logger.info(`claim: key ${key}: request refused`, { service, error: decision.error });
            return;
    }
};
