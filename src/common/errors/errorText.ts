/**
 * Text of a value that was thrown.
 */

/**
 * Converts what was thrown to text for a log line or a message.
 *
 * @param error - an error, or any other value
 * @returns the error's message, or the value as text
 */
export const toErrorText = (error: unknown): string => (error instanceof Error ? error.message : String(error));
