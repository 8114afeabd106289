/**
 * Decides which calls with an idempotency key may run.
 */
import * as keys from "../../common/claims/keys.js";
import * as claims from "../../common/claims/Types.js";
import * as errors from "../../common/errors/errors.js";
import * as errorTypes from "../../common/errors/Types.js";
import * as shared from "../../common/Types.js";
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
    let isDisposed = false;

    const createClaim = (run: types.ClaimRun): claims.Claim => {
        let isFinished = false;
        return {
            key: run.key,
            finish: result => {
                if (isFinished) {
                    logger.warn(`claim: key ${run.key} was finished twice`, { attempt: run.attempt });
                    return;
                }
                isFinished = true;
                arbiter.finish(run, result);
                logger.info(`claim: key ${run.key} ended`, { attempt: run.attempt, result: result.kind });
            },
        };
    };

    const beginIssued = (key: claims.KeyId, request: claims.ClaimRequest, epoch: number): claims.ClaimDecision => {
        const decision = arbiter.beginIssued(key, request.signature, epoch);
        return decision.kind === "run" ? { kind: "run", claim: createClaim(decision.run) } : decision;
    };

    const begin = (key: claims.KeyId, request: claims.ClaimRequest): claims.ClaimDecision => {
        const origin = keys.parseKeyOrigin(request.key);
        if (origin.kind === "foreign") {
            return createRefusal("claim_store_unavailable", "Foreign keys are not accepted.");
        }
        if (origin.incarnation !== incarnation) {
            return { kind: "forward", incarnation: origin.incarnation };
        }
        return beginIssued(key, request, origin.epoch);
    };

    const beginChecked = (key: claims.KeyId, request: claims.ClaimRequest): claims.ClaimDecision => {
        if (isDisposed) {
            return createRefusal("leaving", "The entry VM is leaving.");
        }
        try {
            return begin(key, request);
        } catch (error) {
            if (errors.isCallError(error)) {
                return createRefusal(error.kind, error.message);
            }
            throw error;
        }
    };

    return {
        issueKeyPrefix: () => {
            const mayIssue = !isDisposed && (options.mayIssue?.() ?? true);
            return mayIssue ? keys.formatKeyPrefix(incarnation, arbiter.computeEpoch()) : undefined;
        },
        begin: request => {
            const key = keys.computeKeyId(request.service, request.key);
            const decision = beginChecked(key, request);
            logDecision(logger, key, request.service, decision);
            return Promise.resolve(decision);
        },
        measure: () => arbiter.measure(),
        dispose: () => (isDisposed = true),
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
            logger.info(`claim: key ${key} may run`, { service });
            return;
        case "wait":
            logger.info(`claim: key ${key} is running, the request waits`, { service });
            return;
        case "replay":
            logger.info(`claim: key ${key} ran, its answer is repeated`, { service, status: decision.answer.status });
            return;
        case "forward":
            logger.info(`claim: key ${key} goes to its arbiter`, { service, incarnation: decision.incarnation });
            return;
        case "refuse":
            logger.info(`claim: key ${key} is refused`, { service, error: decision.error });
            return;
    }
};
