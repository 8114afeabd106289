/**
 * Log lines of the daemon.
 */
import * as types from "../../common/Types.js";

export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

export interface LogOptions {
    readonly level: LogLevel;
    readonly format: "text" | "json";
    /** Lines of level `debug` and `info` in a second; further ones are counted and dropped. */
    readonly maxInfoPerSecond?: number;
    /** The same for warnings and errors, which have a bound of their own so that other lines do not crowd them out. */
    readonly maxWarningsPerSecond?: number;
    /** Receives whole lines, several at a time. */
    write(text: string): void;
}

export interface LogSink extends types.Disposable {
    /** Shared by all parts; each message begins with the prefix of its part, as in `route: `. */
    readonly logger: types.Logger;
    flush(): void;
    /** Lines dropped since the start. */
    countDropped(): number;
}
