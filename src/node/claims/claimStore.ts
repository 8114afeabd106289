/**
 * Claims foreign keys in the table service.
 */
import * as rowClaim from "../../common/claims/rowClaim.js";
import * as claims from "../../common/claims/Types.js";
import * as events from "../../common/events.js";
import * as shared from "../../common/Types.js";
import * as platform from "../platform/Types.js";
import * as rowBatcher from "./rowBatcher.js";
import * as rowSettler from "./rowSettler.js";
import * as types from "./Types.js";

/** Result of an attempt to claim a key. */
export type StoreClaimResult =
    /** The request may be sent. `settle` records its end in the background. */
    | { readonly kind: "granted"; settle(end: claims.KeyEnd): void }
    | { readonly kind: "taken"; readonly decision: claims.TakenDecision }
    | { readonly kind: "failed"; readonly message: string };

export interface ClaimStore extends shared.Disposable {
    claim(rowKey: string, signature: claims.RequestSignature): Promise<StoreClaimResult>;
}

// A transaction of 100 rows stays below about 40 KB.
const maxRowsPerTransaction = 100;
// Ten full transactions: at 10 ms each, the last claim waits 0.1 s.
const defaultMaxWaitingClaims = 1_000;

/**
 * Creates a claim store.
 *
 * @param options - the incarnation, its platform and its limits
 * @returns the store
 */
export const createClaimStore = (options: types.ClaimControllerOptions): ClaimStore => {
    const { table, logger } = options;
    const maxWaitingCount = options.limits.maxWaitingClaims ?? defaultMaxWaitingClaims;
    const lifetime = events.createDisposableStore();
    const batcher = rowBatcher.createRowBatcher(table, maxRowsPerTransaction);
    const settler = lifetime.add(rowSettler.createRowSettler({ ...options, batcher, maxRows: maxRowsPerTransaction }));
    let waitingCount = 0;
    let isDisposed = false;

    const writeRow = async (rowKey: string, claim: claims.RowClaim): Promise<claims.RowObservation> => {
        const row = rowClaim.createClaimRow(claim, options.incarnation);
        const result = await batcher.write(rowKey, 0, row);
        return result.kind === "conflict" ? toRowObservation(result.row) : result;
    };

    const readRow = async (rowKey: string): Promise<claims.RowObservation> => {
        const result = await readOrUnavailable(table, rowKey);
        switch (result.kind) {
            case "found":
                return toRowObservation(result.row);
            case "absent":
                return toRowObservation(undefined);
            case "unavailable":
                return { kind: "unavailable" };
        }
    };

    const claimRow = async (rowKey: string, initial: claims.RowClaim): Promise<StoreClaimResult> => {
        let claim = initial;
        let step: claims.RowStep = { kind: "write" };
        while (step.kind === "write" || step.kind === "read") {
            const observation = await (step.kind === "write" ? writeRow(rowKey, claim) : readRow(rowKey));
            if (observation.kind === "unknown") {
                logger.warn("claim: outcome of the claim transaction unknown, reading the row back", { row: rowKey });
            }
            ({ claim, step } = rowClaim.applyRowObservation(claim, observation));
        }
        return toStoreClaimResult(rowKey, claim, step);
    };

    const toStoreClaimResult = (rowKey: string, claim: claims.RowClaim, step: FinalStep): StoreClaimResult => {
        switch (step.kind) {
            case "granted":
                return { kind: "granted", settle: end => settler.settle(rowKey, claim.token, end) };
            case "taken":
                return step;
            case "failed":
                if (step.mayExist) {
                    // The request is not sent, so the row is removed as soon as the table service is available again.
                    settler.settle(rowKey, claim.token, { kind: "notRun" });
                }
                return { kind: "failed", message: "The table service is unavailable, so the key cannot be claimed." };
        }
    };

    return {
        claim: async (rowKey, signature) => {
            if (isDisposed || waitingCount >= maxWaitingCount) {
                return { kind: "failed", message: "Too many claims wait for the table service." };
            }
            waitingCount++;
            try {
                await settler.waitForFirstTry(rowKey);
                return await claimRow(rowKey, rowClaim.createRowClaim(options.createToken(), signature));
            } finally {
                waitingCount--;
            }
        },
        dispose: () => {
            isDisposed = true;
            lifetime.dispose();
        },
    };
};

type FinalStep = Exclude<claims.RowStep, { kind: "write" | "read" }>;

const toRowObservation = (row: platform.Row | undefined): claims.RowObservation => ({
    kind: "row",
    row: row === undefined ? undefined : rowClaim.parseClaimRow(row.value),
});

/**
 * Reads a row. An exception is reported as an unavailable table service.
 *
 * @param table - the table service
 * @param key - the key of the row
 * @returns the result of the read
 */
const readOrUnavailable = async (table: platform.TableService, key: string): Promise<platform.ReadResult> => {
    try {
        return await table.read(key);
    } catch (error) {
        return { kind: "unavailable", cause: String(error) };
    }
};
