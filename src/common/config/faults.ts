/**
 * Converts validation issues reported by zod to faults.
 */
import type * as zod from "zod";
import * as config from "./Types.js";
import * as paths from "./paths.js";

type Issue = zod.core.$ZodIssue;

const formatTypeMessage = (issue: zod.core.$ZodIssueInvalidType): string => {
    if (issue.input === undefined) {
        return `is missing; expected ${issue.expected}`;
    }
    const isCustom = !issue.message.startsWith("Invalid input");
    return isCustom ? issue.message : `must be of type ${issue.expected}`;
};

const toFaults = (label: string, prefix: paths.FieldPath, issue: Issue): config.Fault[] => {
    const path = [...prefix, ...issue.path.map(key => (typeof key === "symbol" ? String(key) : key))];
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => paths.createFault(label, [...path, key], "is not a known field"));
    }
    const message = issue.code === "invalid_type" ? formatTypeMessage(issue) : issue.message;
    return [paths.createFault(label, path, message)];
};

/** A valid value, or the faults of an invalid one. */
export interface CheckedValue<T> {
    readonly value: T | undefined;
    readonly faults: readonly config.Fault[];
}

/**
 * Parses and validates a value.
 *
 * @param schema - the schema to validate against
 * @param value - the value to parse
 * @param label - name of the file or section, for faults
 * @param path - path of the value within the file or section
 * @returns the parsed value, or all of its faults
 */
export const parseValue = <T>(
    schema: zod.ZodType<T>,
    value: unknown,
    label: string,
    path: paths.FieldPath = [],
): CheckedValue<T> => {
    const result = schema.safeParse(value, { reportInput: true });
    return result.success
        ? { value: result.data, faults: [] }
        : { value: undefined, faults: result.error.issues.flatMap(issue => toFaults(label, path, issue)) };
};
