/**
 * Buffers log lines, so that code that logs a line for each decision does not wait for the output.
 */
import * as loglevel from "loglevel";
import * as events from "../../common/events.js";
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

const flushIntervalMs = 100;
const flushBytes = 64 * 1024;

/** Length to which texts are cut, as some are copied from requests and responses. */
const maxTextLength = 1_000;

const cutText = (value: shared.LogFields[string]): shared.LogFields[string] =>
    typeof value === "string" && value.length > maxTextLength ? `${value.slice(0, maxTextLength)}...` : value;

/** Cuts long texts; returns the same fields if there are none. */
const cutTexts = (fields: shared.LogFields): shared.LogFields => {
    for (const name in fields) {
        if (cutText(fields[name]) !== fields[name]) {
            return Object.fromEntries(Object.entries(fields).map(([key, value]) => [key, cutText(value)]));
        }
    }
    return fields;
};

const formatFields = (fields: shared.LogFields): string =>
    Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => ` ${name}=${String(value)}`)
        .join("");

const formatText = (level: string, message: string, fields: shared.LogFields | undefined): string => {
    const levelPrefix = level === "warn" || level === "error" ? `${level}: ` : "";
    const suffix = fields === undefined ? "" : formatFields(fields);
    return `${new Date().toISOString()} ${levelPrefix}${message}${suffix}\n`;
};

/** Splits the prefix of the component off the message and writes it as the field `part`. */
const formatJson = (level: string, message: string, fields: shared.LogFields | undefined): string => {
    const [part = "", ...rest] = message.split(": ");
    const line = { time: new Date().toISOString(), part, level, message: rest.join(": "), ...fields };
    return `${JSON.stringify(line)}\n`;
};

/**
 * Creates the log sink, one for the whole process.
 *
 * @param options - level, format and output
 * @returns the sink; disposing it writes what is buffered
 */
export const createLogSink = (options: types.LogOptions): types.LogSink => {
    const formatLine = options.format === "json" ? formatJson : formatText;
    let buffered: string[] = [];
    let bufferedBytes = 0;

    const flush = (): void => {
        if (buffered.length === 0) {
            return;
        }
        const text = buffered.join("");
        buffered = [];
        bufferedBytes = 0;
        options.write(text);
    };

    const append = (line: string): void => {
        buffered.push(line);
        bufferedBytes += line.length;
        if (bufferedBytes >= flushBytes) {
            flush();
        }
    };

    let currentSecond = 0;
    let infoLines = 0;
    let warningLines = 0;
    let droppedLines = 0;
    let reportedDroppedLines = 0;

    /** Counts a line against the rate limit of the current second; returns false if the line exceeds it. */
    const admitLine = (level: string): boolean => {
        const now = Math.floor(performance.now() / 1_000);
        if (now !== currentSecond) {
            currentSecond = now;
            infoLines = 0;
            warningLines = 0;
            if (droppedLines > reportedDroppedLines) {
                append(formatLine("warn", "log: lines dropped", { lines: droppedLines - reportedDroppedLines }));
                reportedDroppedLines = droppedLines;
            }
        }
        const isAdmitted =
            level === "warn" || level === "error"
                ? ++warningLines <= (options.maxWarningsPerSecond ?? Infinity)
                : ++infoLines <= (options.maxInfoPerSecond ?? Infinity);
        if (isAdmitted) {
            return true;
        }
        droppedLines++;
        return false;
    };

    const timer = setInterval(flush, flushIntervalMs);
    timer.unref();
    const disposable = events.toDisposable(() => {
        clearInterval(timer);
        flush();
    });

    const logger = loglevel.default.getLogger(Symbol("tarragonpath"));
    logger.methodFactory =
        level =>
        (message: string, fields?: shared.LogFields): void => {
            if (admitLine(level)) {
                append(formatLine(level, message, fields === undefined ? undefined : cutTexts(fields)));
            }
        };
    // loglevel stores the level in the browser's storage unless the second argument is false.
    logger.setLevel(options.level, false);

    return { logger, flush, countDroppedLines: () => droppedLines, dispose: () => disposable.dispose() };
};
