/**
 * Parses YAML and reports faults with line and column.
 */
import * as yaml from "yaml";
import * as errorText from "../errors/errorText.js";
import * as config from "./Types.js";

export interface YamlResult {
    readonly value: unknown;
    readonly faults: readonly config.Fault[];
}

const toFault = (label: string, error: yaml.YAMLParseError): config.Fault => {
    const position = error.linePos?.[0];
    return {
        where: position === undefined ? label : `${label}:${position.line}:${position.col}`,
        message: error.message.split(" at line ", 1)[0] ?? error.message,
    };
};

/**
 * Parses a YAML document.
 *
 * @param text - the YAML text
 * @param label - name of the file, for faults
 * @returns the parsed value, or the syntax faults
 */
export const parseYaml = (text: string, label: string): YamlResult => {
    const document = yaml.parseDocument(text);
    if (document.errors.length > 0) {
        return { value: undefined, faults: document.errors.map(error => toFault(label, error)) };
    }
    try {
        return { value: document.toJS(), faults: [] };
    } catch (error) {
        // Unresolved and excessively repeated aliases are detected only during conversion.
        const message = errorText.toErrorText(error);
        return { value: undefined, faults: [{ where: label, message }] };
    }
};
