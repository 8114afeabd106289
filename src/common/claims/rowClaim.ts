/**
 * Decision functions for the rows that claim foreign keys, shared by the daemon and the model checker.
 */
import * as zod from "zod";
import * as errorTable from "../errors/errorTable.js";
import * as errors from "../errors/Types.js";
import * as types from "./Types.js";

// Retries are safe, because all writes of an attempt carry one token; more than a few only delay the caller.
const maxClaimWrites = 3;

const isErrorKind = (text: string): text is errors.ErrorKind => Object.hasOwn(errorTable.errorTable, text);

const rowSchema = zod.object({
    token: zod.string(),
    incarnation: zod.string(),
    signature: zod.string(),
    end: zod.discriminatedUnion("kind", [
        zod.object({ kind: zod.literal("running") }),
        zod.object({ kind: zod.literal("done"), status: zod.number() }),
        zod.object({ kind: zod.literal("mayHaveRun"), error: zod.string().refine(isErrorKind) }),
    ]),
});

// Stands for a row of another software version. Its token matches no attempt, so it is never run, changed or removed.
const unreadableRow: types.ClaimRow = { token: "", incarnation: "", signature: "", end: { kind: "running" } };

/**
 * Parses the content of a claim row.
 *
 * @param value - the value that the table service returned
 * @returns the content; a row that cannot be parsed counts as claimed by another attempt
 */
export const parseClaimRow = (value: unknown): types.ClaimRow => {
    const parsed = rowSchema.safeParse(value);
    return parsed.success ? parsed.data : unreadableRow;
};

/**
 * Creates an attempt to claim a row. Its first step is a write.
 *
 * @param token - a random token, unique to this attempt
 * @param signature - signature of the request
 * @returns the attempt
 */
export const createRowClaim = (token: string, signature: types.RequestSignature): types.RowClaim => ({
    token,
    signature,
    writesLeft: maxClaimWrites - 1,
    mayExist: false,
});

/**
 * Applies the result of a read or write to an attempt to claim a row.
 *
 * @param claim - the attempt
 * @param observation - the result of its last write or read
 * @returns the updated attempt and its next step
 */
export const applyRowObservation = (
    claim: types.RowClaim,
    observation: types.RowObservation,
): { readonly claim: types.RowClaim; readonly step: types.RowStep } => {
    switch (observation.kind) {
        case "committed":
            return { claim, step: { kind: "granted" } };
        case "unknown":
            // Without reading back, a retry would mistake the attempt's own row for that of another attempt.
            return { claim: { ...claim, mayExist: true }, step: { kind: "read" } };
        case "unavailable":
            return { claim, step: { kind: "failed", mayExist: claim.mayExist } };
        case "row":
            return applyRow(claim, observation.row);
    }
};

const applyRow = (
    claim: types.RowClaim,
    row: types.ClaimRow | undefined,
): { readonly claim: types.RowClaim; readonly step: types.RowStep } => {
    if (row === undefined) {
        return applyAbsentRow(claim);
    }
    if (row.token === claim.token) {
        return { claim, step: { kind: "granted" } };
    }
    return { claim, step: { kind: "taken", decision: computeTakenDecision(row, claim.signature) } };
};

const applyAbsentRow = (claim: types.RowClaim): { readonly claim: types.RowClaim; readonly step: types.RowStep } => {
    if (claim.writesLeft === 0) {
        return { claim, step: { kind: "failed", mayExist: claim.mayExist } };
    }
    return { claim: { ...claim, writesLeft: claim.writesLeft - 1 }, step: { kind: "write" } };
};

/**
 * Computes the decision on a request whose key another attempt has claimed.
 *
 * @param row - the row of the other claim
 * @param signature - signature of the request
 * @returns a replay without content if the call ran, otherwise a refusal
 */
export const computeTakenDecision = (row: types.ClaimRow, signature: types.RequestSignature): types.TakenDecision => {
    if (row !== unreadableRow && row.signature !== signature) {
        return {
            kind: "refuse",
            error: "idempotency_key_reused",
            message: "The key belongs to a different request.",
        };
    }
    switch (row.end.kind) {
        case "running":
            return {
                kind: "refuse",
                error: "key_in_progress",
                message: "Another entry VM has claimed the key; its call may be running.",
            };
        case "done":
            return { kind: "replay", status: row.end.status };
        case "mayHaveRun":
            return {
                kind: "refuse",
                error: "outcome_unknown",
                message: `The first request ended as ${row.end.error}.`,
            };
    }
};

/**
 * Creates the content of a new claim row.
 *
 * @param claim - the attempt
 * @param incarnation - the incarnation of the entry VM that makes the attempt
 * @returns the content
 */
export const createClaimRow = (claim: types.RowClaim, incarnation: string): types.ClaimRow => ({
    token: claim.token,
    incarnation,
    signature: claim.signature,
    end: { kind: "running" },
});

/**
 * Picks what to write to the row of an attempt that has ended.
 *
 * @param token - token of the attempt
 * @param end - how the attempt ended
 * @param row - the row that was just read; the write is conditional on its version
 * @returns the write, or `finished` if the row belongs to another attempt or already records an end
 */
export const pickSettleStep = (token: string, end: types.KeyEnd, row: types.ClaimRow | undefined): types.SettleStep => {
    if (row?.token !== token || row.end.kind !== "running") {
        return { kind: "finished" };
    }
    return { kind: "write", value: end.kind === "notRun" ? undefined : { ...row, end } };
};
