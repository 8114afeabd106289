/**
 * Idempotency keys and the decisions of their arbiter.
 */
import * as errors from "../errors/Types.js";
import * as types from "../Types.js";

/** What must be equal in two requests that carry the same key. */
export type RequestSignature = types.Brand<string, "RequestSignature">;

/** Identifies the key of a service in the memory of the arbiter. */
export type KeyId = types.Brand<string, "KeyId">;

/** Where a key's arbiter is. */
export type KeyOrigin =
    | { readonly kind: "issued"; readonly incarnation: types.IncarnationId; readonly epoch: number }
    | { readonly kind: "foreign" };

/** An answer that is kept for a caller who sends the request again. */
export interface KeptAnswer {
    readonly status: number;
    readonly headers: readonly (readonly [string, string])[];
    /** Undefined if the body was too large to keep. */
    readonly body: Uint8Array | undefined;
}

/** How a call that was allowed to run has ended. */
export type ClaimResult =
    | { readonly kind: "done"; readonly answer: KeptAnswer }
    | { readonly kind: "notRun"; readonly error: errors.ErrorKind }
    | { readonly kind: "mayHaveRun"; readonly error: errors.ErrorKind };

/** Permission to send a call to a target; `finish` must be called once. */
export interface Claim {
    readonly key: KeyId;
    finish(result: ClaimResult): void;
}

export type ClaimDecision =
    | { readonly kind: "run"; readonly claim: Claim }
    /** The same call is running; the result comes later. */
    | { readonly kind: "wait"; readonly result: Promise<ClaimResult> }
    | { readonly kind: "replay"; readonly answer: KeptAnswer }
    /** Another incarnation decides. */
    | { readonly kind: "forward"; readonly incarnation: types.IncarnationId }
    | { readonly kind: "refuse"; readonly error: errors.ErrorKind; readonly message: string };

export interface ClaimRequest {
    readonly service: types.ServiceName;
    readonly key: string;
    readonly signature: RequestSignature;
}

/** `unknown`: another incarnation or the table service would have to be asked. */
export type KnownOutcome = "notRun" | "ran" | "mayHaveRun" | "unknown";

/** Arbiter of the keys that this incarnation has issued and of foreign keys that it claims in the table service. */
export interface ClaimController extends types.Disposable {
    /** Prefix for keys of callers who look up now, or undefined while leaving. */
    issueKeyPrefix(): string | undefined;
    /** Epoch of the keys that are issued now; peers need it to name this incarnation as arbiter. */
    getEpoch(): number;
    /** Tells what is known of a key without starting anything. */
    findOutcome(service: types.ServiceName, key: string): KnownOutcome;
    begin(request: ClaimRequest): Promise<ClaimDecision>;
    /** Entries and bytes in use, for status and capacity. */
    measure(): { readonly keys: number; readonly keptBytes: number };
}

/**
 * What the arbiter knows of one key. A key that its table does not hold is in the state `notRun`, and a key in that
 * state takes no memory.
 */
export type KeyState =
    | { readonly kind: "notRun" }
    | { readonly kind: "running"; readonly signature: RequestSignature; readonly attempt: number }
    | { readonly kind: "done"; readonly signature: RequestSignature; readonly status: number }
    | { readonly kind: "mayHaveRun"; readonly signature: RequestSignature; readonly error: errors.ErrorKind };

/** Whether the arbiter still remembers the epoch of a key. Foreign keys are always `live`. */
export type EpochStatus = "live" | "expired" | "unissued";

export type KeyEvent =
    | {
          readonly kind: "begin";
          readonly signature: RequestSignature;
          /** Number of the attempt if it may run; never used before by this incarnation. */
          readonly attempt: number;
          readonly epoch: EpochStatus;
          /** False if the table holds as many keys as it may. */
          readonly hasRoom: boolean;
      }
    | { readonly kind: "finish"; readonly attempt: number; readonly end: KeyEnd };

/** The part of a claim's result that the state of the key depends on. */
export type KeyEnd =
    | { readonly kind: "done"; readonly status: number }
    | { readonly kind: "notRun" }
    | { readonly kind: "mayHaveRun"; readonly error: errors.ErrorKind };

export type KeyDecision =
    | { readonly kind: "run"; readonly attempt: number }
    /** The result of the running attempt answers this request as well. */
    | { readonly kind: "wait"; readonly attempt: number }
    | { readonly kind: "replay"; readonly status: number }
    | { readonly kind: "refuse"; readonly error: errors.ErrorKind; readonly message: string }
    /** The end of the attempt was recorded. */
    | { readonly kind: "recorded" }
    /** The end of an attempt that the table no longer holds. */
    | { readonly kind: "ignored" };

export interface KeyTransition {
    readonly state: KeyState;
    readonly decision: KeyDecision;
}

/** Content of the row that claims a foreign key. The row is removed if the call did not run. */
export interface ClaimRow {
    /** Random text of one attempt to claim; only the attempt with this token may run, update or remove the row. */
    readonly token: string;
    /** For operators: the entry VM incarnation that wrote the row. */
    readonly incarnation: string;
    readonly signature: string;
    readonly end: { readonly kind: "running" } | Exclude<KeyEnd, { kind: "notRun" }>;
}

/** Answer to a request whose key another attempt has claimed. */
export type TakenDecision = Extract<KeyDecision, { kind: "replay" | "refuse" }>;

/** How far an attempt to claim a row has come. */
export interface RowClaim {
    readonly token: string;
    readonly signature: RequestSignature;
    /** Writes that may still be tried after an ambiguous one. */
    readonly writesLeft: number;
    /** True if a write of this attempt may have taken effect, or may do so later. */
    readonly mayExist: boolean;
}

/** What the table service answered. `row` comes from a read or from the conflict of a write. */
export type RowObservation =
    | { readonly kind: "committed" }
    | { readonly kind: "row"; readonly row: ClaimRow | undefined }
    /** The write surely had no effect, or the read failed. */
    | { readonly kind: "unavailable" }
    /** The answer to the write was lost. */
    | { readonly kind: "unknown" };

export type RowStep =
    | { readonly kind: "write" }
    | { readonly kind: "read" }
    /** The row holds this attempt's token, so the call may be sent. */
    | { readonly kind: "granted" }
    /** The call must not be sent by this attempt. */
    | { readonly kind: "taken"; readonly decision: TakenDecision }
    | { readonly kind: "failed"; readonly mayExist: boolean };

/** What to do with the row of an attempt that has ended. */
export type SettleStep =
    { readonly kind: "write"; readonly value: ClaimRow | undefined } | { readonly kind: "finished" };
