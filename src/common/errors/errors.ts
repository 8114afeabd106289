/**
 * Errors that carry a kind of the closed list.
 */
import * as modernErrors from "modern-errors";
import * as types from "./Types.js";

const ModernError = modernErrors.default;

/** Base of all errors that the project raises on purpose. */
export const TarragonError = ModernError.subclass("TarragonError");

/** An error that ends a call with the answer of its kind. */
export interface CallError extends Error {
    readonly kind: types.ErrorKind;
}

const CallErrorClass = TarragonError.subclass("CallError");

/**
 * Creates an error that ends a call.
 *
 * @param kind - the kind, which decides the answer
 * @param message - one sentence for the caller and the log
 * @param cause - the underlying error, if any
 * @returns the error
 */
export const createCallError = (kind: types.ErrorKind, message: string, cause?: unknown): CallError =>
    new CallErrorClass(message, { props: { kind }, ...(cause === undefined ? {} : { cause }) });

/**
 * Tells whether an error ends a call with an answer of the table.
 *
 * @param error - anything that was thrown
 * @returns true if it was made by {@link createCallError}
 */
export const isCallError = (error: unknown): error is CallError => error instanceof CallErrorClass;

/** Raised when an operator's input or setting is wrong. */
export const InputError = TarragonError.subclass("InputError");
