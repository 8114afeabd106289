/**
 * Parses the entry daemons' JSON log lines. Log collectors often put a timestamp and a host name before the JSON
 * object.
 */
import * as fs from "node:fs";
import * as readline from "node:readline";
import * as types from "../common/Types.js";

/** Path that means standard input. */
export const standardInputPath = "-";

export interface LogLine {
    /** Text before the JSON object, without the timestamp; usually the host name. */
    readonly source: string;
    /** Wall clock time of the VM, in milliseconds since the Unix epoch. */
    readonly atMs: number;
    readonly part: string;
    readonly level: string;
    readonly message: string;
    readonly fields: types.LogFields;
}

const timestampPattern = /^-?[\d.:TZ-]+$/;

/**
 * Parses a log line.
 *
 * @param text - the line
 * @returns the parsed line, or undefined if it contains no valid log object
 */
export const parseLogLine = (text: string): LogLine | undefined => {
    const jsonStart = text.indexOf("{");
    if (jsonStart < 0) {
        return undefined;
    }
    let value: unknown;
    try {
        value = JSON.parse(text.slice(jsonStart));
    } catch {
        // Collected logs also contain lines of other programs.
        return undefined;
    }
    const { time, part, level, message, ...fields } = value as Record<string, string | number | boolean>;
    const atMs = typeof time === "string" ? Date.parse(time) : Number.NaN;
    if (Number.isNaN(atMs) || typeof part !== "string" || typeof message !== "string") {
        return undefined;
    }
    const words = text.slice(0, jsonStart).split(/\s+/);
    const source = words.filter(word => word !== "" && !timestampPattern.test(word)).join(" ");
    return { source, atMs, part, level: String(level), message, fields };
};

/**
 * Reads a log line by line.
 *
 * @param path - path of a file, or `-` for standard input
 * @returns the lines
 * @throws Error if the file cannot be read
 */
export const readLogLines = (path: string): AsyncIterable<string> =>
    readline.createInterface({ input: path === standardInputPath ? process.stdin : fs.createReadStream(path) });
