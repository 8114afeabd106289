/**
 * Conversion of thrown values to text.
 */

/**
 * Converts a thrown value to text for a log or error message.
 *
 * @param error - the thrown value
 * @returns the message of an error, or any other value converted to a string
 */
export const toErrorText = (error: unknown): string => (error instanceof Error ? error.message : String(error));
