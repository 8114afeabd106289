/**
 * Lines of the entry daemons' JSON logs, as collectors deliver them: often with a time and a machine's name before the
 * JSON object.
 */
import * as fs from "node:fs";
import * as readline from "node:readline";
import * as shared from "../common/Types.js";

/** Path that stands for standard input. */
export const standardInput = "-";

export interface LogLine {
    /** Text before the JSON object, without the time: usually the machine's name. */
    readonly source: string;
    /** Wall clock of the VM, in Unix milliseconds. */
    readonly atMs: number;
    readonly part: string;
    readonly level: string;
    readonly message: string;
    readonly fields: shared.LogFields;
}

const timePattern = /^-?[\d.:TZ-]+$/;

/**
 * Parses a line.
 *
 * @param text - the line
 * @returns the line's parts, or undefined if it holds no log object
 */
export const parseLogLine = (text: string): LogLine | undefined => {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    let value: unknown;
    try {
        value = JSON.parse(text.slice(start));
    } catch {
        // Collected logs hold other programs' lines too.
        return undefined;
    }
    const { time, part, level, message, ...fields } = value as Record<string, string | number | boolean>;
    const atMs = typeof time === "string" ? Date.parse(time) : Number.NaN;
    if (Number.isNaN(atMs) || typeof part !== "string" || typeof message !== "string") {
        return undefined;
    }
    const words = text.slice(0, start).split(/\s+/);
    const source = words.filter(word => word !== "" && !timePattern.test(word)).join(" ");
    return { source, atMs, part, level: String(level), message, fields };
};

/**
 * Reads a log line by line.
 *
 * @param path - a file, or `-` for standard input
 * @returns the lines
 * @throws Error of the file system if the file cannot be read
 */
export const readLogLines = (path: string): AsyncIterable<string> =>
    readline.createInterface({ input: path === standardInput ? process.stdin : fs.createReadStream(path) });
