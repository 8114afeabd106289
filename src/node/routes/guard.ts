/**
 * Keeps errors of callbacks from leaving the work that they belong to.
 */

/** Wraps a callback. */
export type Guard = <A extends readonly unknown[]>(action: (...args: A) => void) => (...args: A) => void;

/**
 * Creates a function that wraps callbacks so that an error in one of them is handled in place of thrown.
 *
 * @param handleError - called with each error
 * @returns the function
 */
export const createGuard =
    (handleError: (error: unknown) => void): Guard =>
    action =>
    (...args) => {
        try {
            action(...args);
        } catch (error) {
            handleError(error);
        }
    };
