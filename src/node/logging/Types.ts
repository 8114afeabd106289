/**
 * Log lines of the daemon.
 */
import * as types from "../../common/Types.js";

export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

export interface LogOptions {
    readonly level: LogLevel;
    readonly format: "text" | "json";
    /** Receives whole lines, several at a time. */
    write(text: string): void;
}

export interface LogSink extends types.Disposable {
    /** Creates the logger of one part; `prefix` is its fixed prefix without the colon. */
    createLogger(prefix: string): types.Logger;
    flush(): void;
}
