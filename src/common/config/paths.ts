/**
 * Formats the locations of faults for operators.
 */
import * as config from "./Types.js";

/** Keys and array indexes from the root of a file or section to a field. */
export type FieldPath = readonly (string | number)[];

/**
 * Formats the path of a field.
 *
 * @param path - the path of the field
 * @returns the path, for example `targets[2].zone`; empty for the root
 */
export const formatPath = (path: FieldPath): string => {
    let text = "";
    for (const key of path) {
        if (typeof key === "number") {
            text += `[${key}]`;
        } else {
            text += text === "" ? key : `.${key}`;
        }
    }
    return text;
};

/**
 * Creates a fault for a field.
 *
 * @param label - the file or section
 * @param path - the path of the field
 * @param message - what is wrong, and what is allowed
 * @returns the fault
 */
export const createFault = (label: string, path: FieldPath, message: string): config.Fault => ({
    where: path.length === 0 ? label : `${label}: ${formatPath(path)}`,
    message,
});

/**
 * Formats a fault as a single line.
 *
 * @param fault - the fault
 * @returns location and message
 */
export const formatFault = (fault: config.Fault): string => `${fault.where}: ${fault.message}`;
