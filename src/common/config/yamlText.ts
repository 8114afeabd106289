/**
 * YAML text as a value, with faults by line.
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
 * @param text - the text
 * @param label - the file
 * @returns the value, or the faults of the text
 */
export const parseYaml = (text: string, label: string): YamlResult => {
    const document = yaml.parseDocument(text);
    if (document.errors.length > 0) {
        return { value: undefined, faults: document.errors.map(error => toFault(label, error)) };
    }
    try {
        return { value: document.toJS(), faults: [] };
    } catch (error) {
        // An alias without anchor or with too many repetitions is found only here.
        const message = errorText.toErrorText(error);
        return { value: undefined, faults: [{ where: label, message }] };
    }
};
