/**
 * Log lines of the daemon.
 */
import * as types from "../../common/Types.js";

export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

export interface LogOptions {
    readonly level: LogLevel;
    readonly format: "text" | "json";
    /**
     * Lines of level `debug` and `info` in a second; further ones are counted and dropped. Warnings and errors are always
     * kept.
     */
    readonly maxInfoPerSecond?: number;
    /** Receives whole lines, several at a time. */
    write(text: string): void;
}

export interface LogSink extends types.Disposable {
    /** Shared by all parts; each message begins with the prefix of its part, as in `route: `. */
    readonly logger: types.Logger;
    flush(): void;
}
