/**
 * Error classes of the project.
 */
import * as modernErrors from "modern-errors";
import * as types from "./Types.js";

const ModernError = modernErrors.default;

/** Base class of all errors that the project throws deliberately. */
export const TarragonError = ModernError.subclass("TarragonError");

/** An error that ends a call with the response for its kind. */
export interface CallError extends Error {
    readonly kind: types.ErrorKind;
}

const CallErrorClass = TarragonError.subclass("CallError");

/**
 * Creates an error that ends a call.
 *
 * @param kind - the kind, which determines the response
 * @param message - one sentence for the caller and the log
 * @param cause - the underlying error, if any
 * @returns the error
 */
export const createCallError = (kind: types.ErrorKind, message: string, cause?: unknown): CallError =>
    new CallErrorClass(message, { props: { kind }, ...(cause === undefined ? {} : { cause }) });

/**
 * Checks whether an error ends a call with a response of the error table.
 *
 * @param error - the thrown value
 * @returns true if it was created by {@link createCallError}
 */
export const isCallError = (error: unknown): error is CallError => error instanceof CallErrorClass;

/** Thrown when an operator's input or a setting is invalid. */
export const InputError = TarragonError.subclass("InputError");
