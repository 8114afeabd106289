/**
 * Places of faults, as operators read them.
 */
import * as config from "./Types.js";

/** Steps from the top of a file or section to a field. */
export type FieldPath = readonly (string | number)[];

/**
 * Formats the path of a field.
 *
 * @param path - the steps from the top
 * @returns the path, as in `targets[2].zone`; empty for the top itself
 */
export const formatPath = (path: FieldPath): string => {
    let text = "";
    for (const step of path) {
        if (typeof step === "number") {
            text += `[${step}]`;
        } else {
            text += text === "" ? step : `.${step}`;
        }
    }
    return text;
};

/**
 * Creates a fault of a field.
 *
 * @param label - the file or section
 * @param path - the steps to the field
 * @param message - what is wrong and what is allowed
 * @returns the fault
 */
export const createFault = (label: string, path: FieldPath, message: string): config.Fault => ({
    where: path.length === 0 ? label : `${label}: ${formatPath(path)}`,
    message,
});

/**
 * Formats a fault on one line.
 *
 * @param fault - the fault
 * @returns place and message
 */
export const formatFault = (fault: config.Fault): string => `${fault.where}: ${fault.message}`;
