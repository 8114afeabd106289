/**
 * The command line's dependencies on its process; tests replace them.
 */
import * as configFiles from "../common/config/configFiles.js";
import * as types from "../common/Types.js";
import * as peers from "../node/peers/Types.js";
import * as platform from "../node/platform/Types.js";
import * as settings from "../node/settings/Types.js";

export type ReadFilesResult =
    | { readonly kind: "read"; readonly files: readonly configFiles.SourceFile[] }
    | { readonly kind: "failed"; readonly cause: string };

export interface CliContext {
    readonly env: Readonly<Record<string, string | undefined>>;
    /** Default author of changes. */
    readonly userName: string;
    readonly version: string;
    readonly scheduler: types.Scheduler;
    createPlatform(baseUrl: string): platform.Platform;
    createRpc(): peers.RpcClient;
    createToken(): string;
    runEntry(settings: settings.EntrySettings): Promise<void>;
    /** Reads all YAML files below a directory. */
    readFiles(directory: string): Promise<ReadFilesResult>;
    /** Reads a log line by line; `-` means standard input. */
    readLogLines(path: string): AsyncIterable<string>;
    writeOut(text: string): void;
    writeError(text: string): void;
}

/** Options that most commands share, as commander returns them. */
export interface CommonOptions {
    /** Base URL, if the flag was given. */
    readonly platform?: string;
    readonly json?: boolean;
}

/** Clients for a command that queries the platform and the entry VMs. */
export interface Connections {
    readonly platform: platform.Platform;
    readonly rpc: peers.RpcClient;
}
