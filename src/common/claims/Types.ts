/**
 * Types of idempotency keys and of the decisions that their arbiter makes.
 */
import * as errors from "../errors/Types.js";
import * as types from "../Types.js";

/** Signature of a request; requests with the same key must have the same signature. */
export type RequestSignature = types.Brand<string, "RequestSignature">;

/** Identifies a service's key in the key table of the arbiter. */
export type KeyId = types.Brand<string, "KeyId">;

/** Origin of a key, which determines its arbiter. */
export type KeyOrigin =
    | { readonly kind: "issued"; readonly incarnation: types.IncarnationId; readonly epoch: number }
    | { readonly kind: "foreign" };

/** A response that is stored and replayed if the caller sends the request again. */
export interface KeptResponse {
    readonly status: number;
    readonly headers: readonly (readonly [string, string])[];
    /** Undefined if the body was too large to store. */
    readonly body: Uint8Array | undefined;
}

/** Result of a call that was allowed to run. */
export type ClaimResult =
    | { readonly kind: "done"; readonly response: KeptResponse }
    | { readonly kind: "notRun"; readonly error: errors.ErrorKind }
    | { readonly kind: "mayHaveRun"; readonly error: errors.ErrorKind };

/** Permission to send a call to a target; `finish` must be called exactly once. */
export interface Claim {
    readonly key: KeyId;
    finish(result: ClaimResult): void;
}

export type ClaimDecision =
    | { readonly kind: "run"; readonly claim: Claim }
    /** The same call is already running; the promise resolves with its result. */
    | { readonly kind: "wait"; readonly result: Promise<ClaimResult> }
    | { readonly kind: "replay"; readonly response: KeptResponse }
    /** Another incarnation is the arbiter of the key. */
    | { readonly kind: "forward"; readonly incarnation: types.IncarnationId }
    | { readonly kind: "refuse"; readonly error: errors.ErrorKind; readonly message: string };

export interface ClaimRequest {
    readonly service: types.ServiceName;
    readonly key: string;
    readonly signature: RequestSignature;
}

/** `unknown`: only another incarnation or the table service can determine it. */
export type KnownOutcome = "notRun" | "ran" | "mayHaveRun" | "unknown";

/** Arbiter of the keys that this incarnation has issued and of the foreign keys that it claims in the table service. */
export interface ClaimController extends types.Disposable {
    /** Returns the key prefix for a lookup response, or undefined while this VM is leaving. */
    issueKeyPrefix(): string | undefined;
    /** Current epoch of issued keys; peers need it to name this incarnation as the arbiter. */
    getEpoch(): number;
    /** Returns the known outcome of a key without side effects. */
    findOutcome(service: types.ServiceName, key: string): KnownOutcome;
    begin(request: ClaimRequest): Promise<ClaimDecision>;
    /** Counts the keys and stored bytes in use, for status output and capacity checks. */
    measure(): { readonly keys: number; readonly keptBytes: number };
}

/**
 * State of one key at the arbiter. A key that is absent from the table is in the state `notRun`, so this state takes no
 * memory.
 */
export type KeyState =
    | { readonly kind: "notRun" }
    | { readonly kind: "running"; readonly signature: RequestSignature; readonly attempt: number }
    | { readonly kind: "done"; readonly signature: RequestSignature; readonly status: number }
    | { readonly kind: "mayHaveRun"; readonly signature: RequestSignature; readonly error: errors.ErrorKind };

/** Whether the arbiter still retains the epoch of a key. Foreign keys are always `live`. */
export type EpochStatus = "live" | "expired" | "unissued";

export type KeyEvent =
    | {
          readonly kind: "begin";
          readonly signature: RequestSignature;
          /** Number that the attempt gets if it may run; unique within this incarnation. */
          readonly attempt: number;
          readonly epoch: EpochStatus;
          /** False if the table is full. */
          readonly hasRoom: boolean;
      }
    | { readonly kind: "finish"; readonly attempt: number; readonly end: KeyEnd };

/** The part of a claim's result that determines the state of the key. */
export type KeyEnd =
    | { readonly kind: "done"; readonly status: number }
    | { readonly kind: "notRun" }
    | { readonly kind: "mayHaveRun"; readonly error: errors.ErrorKind };

export type KeyDecision =
    | { readonly kind: "run"; readonly attempt: number }
    /** This request receives the result of the running attempt. */
    | { readonly kind: "wait"; readonly attempt: number }
    | { readonly kind: "replay"; readonly status: number }
    | { readonly kind: "refuse"; readonly error: errors.ErrorKind; readonly message: string }
    /** The end of the attempt was recorded. */
    | { readonly kind: "recorded" }
    /** The table no longer holds the attempt that ended. */
    | { readonly kind: "ignored" };

export interface KeyTransition {
    readonly state: KeyState;
    readonly decision: KeyDecision;
}

/** Content of the row that claims a foreign key. The row is removed if the call did not run. */
export interface ClaimRow {
    /** Random token of one claim attempt; only the attempt with this token may run, and update or remove the row. */
    readonly token: string;
    /** Incarnation of the entry VM that wrote the row; informational, for operators. */
    readonly incarnation: string;
    readonly signature: string;
    readonly end: { readonly kind: "running" } | Exclude<KeyEnd, { kind: "notRun" }>;
}

/** Decision on a request whose key another attempt has claimed. */
export type TakenDecision = Extract<KeyDecision, { kind: "replay" | "refuse" }>;

/** Progress of an attempt to claim a row. */
export interface RowClaim {
    readonly token: string;
    readonly signature: RequestSignature;
    /** Number of retries left after writes with an unknown outcome. */
    readonly writesLeft: number;
    /** True if a write of this attempt may have been applied, or may be applied later. */
    readonly mayExist: boolean;
}

/** Result of a request to the table service. `row` comes from a read or from a write that conflicted. */
export type RowObservation =
    | { readonly kind: "committed" }
    | { readonly kind: "row"; readonly row: ClaimRow | undefined }
    /** The write was certainly not applied, or the read failed. */
    | { readonly kind: "unavailable" }
    /** The response to the write was lost. */
    | { readonly kind: "unknown" };

export type RowStep =
    | { readonly kind: "write" }
    | { readonly kind: "read" }
    /** The row holds this attempt's token, so the call may be sent. */
    | { readonly kind: "granted" }
    /** This attempt must not send the call. */
    | { readonly kind: "taken"; readonly decision: TakenDecision }
    | { readonly kind: "failed"; readonly mayExist: boolean };

/** Next step for the row of an attempt that has ended. */
export type SettleStep =
    { readonly kind: "write"; readonly value: ClaimRow | undefined } | { readonly kind: "finished" };
