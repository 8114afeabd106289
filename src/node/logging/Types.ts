/**
 * Types of the logging component.
 */
import * as types from "../../common/Types.js";

export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

export interface LogOptions {
    readonly level: LogLevel;
    readonly format: "text" | "json";
    /** Rate limit for lines of level `debug` and `info`; lines beyond it are dropped and counted. */
    readonly maxInfoPerSecond?: number;
    /** Rate limit for warnings and errors; it is separate so that other lines do not use it up. */
    readonly maxWarningsPerSecond?: number;
    /** Writes one or more complete lines. */
    write(text: string): void;
}

export interface LogSink extends types.Disposable {
    /** Shared by all components; each message begins with the prefix of its component, for example `route: `. */
    readonly logger: types.Logger;
    flush(): void;
    /** Counts the lines dropped since the sink was created. */
    countDroppedLines(): number;
}
