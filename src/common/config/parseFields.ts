/**
 * Parses an object from an operator's file field by field, so that all invalid fields are reported at once.
 */
import type * as zod from "zod";
import * as config from "./Types.js";
import * as faults from "./faults.js";
import * as paths from "./paths.js";

type Shape = Readonly<Record<string, zod.ZodType>>;

export type ParsedFields<S extends Shape> = { readonly [K in keyof S]?: zod.output<S[K]> };

/** The valid fields and the faults found in the others. */
export interface FieldsResult<S extends Shape> {
    readonly fields: ParsedFields<S>;
    readonly faults: readonly config.Fault[];
}

/**
 * Checks whether a value is a YAML map.
 *
 * @param value - the parsed YAML value
 * @returns true for objects other than arrays
 */
export const isMap = (value: unknown): value is Record<string, unknown> =>
    typeof value === "object" && value !== null && !Array.isArray(value);

/**
 * Parses and validates an object.
 *
 * @param shape - schemas of the known fields
 * @param value - the object to parse
 * @param label - name of the file, for faults
 * @param path - path of the object within the file
 * @returns the valid fields, and the faults including those for unknown fields
 */
export const parseFields = <S extends Shape>(
    shape: S,
    value: unknown,
    label: string,
    path: paths.FieldPath = [],
): FieldsResult<S> => {
    const known = Object.keys(shape);
    if (!isMap(value)) {
        const message = `must be a map with fields among ${known.join(", ")}`;
        return { fields: {}, faults: [paths.createFault(label, path, message)] };
    }
    const fields: Record<string, unknown> = {};
    const found: config.Fault[] = [];
    for (const [key, schema] of Object.entries(shape)) {
        const checked = faults.parseValue(schema, value[key], label, [...path, key]);
        found.push(...checked.faults);
        if (checked.faults.length === 0) {
            fields[key] = checked.value;
        }
    }
    for (const key of Object.keys(value).filter(name => !known.includes(name))) {
        found.push(paths.createFault(label, [...path, key], `is not a known field; there are ${known.join(", ")}`));
    }
    return { fields: fields as ParsedFields<S>, faults: found };
};
