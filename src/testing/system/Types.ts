/**
 * Types of a complete system of separate processes on loopback, for end-to-end tests, the demo and experiments.
 */
import type * as childProcess from "node:child_process";
import * as platform from "../platform/Types.js";
import * as targets from "../targets/Types.js";

export interface ServicePlan {
    readonly service: string;
    readonly targets: number;
    readonly slots: number;
    readonly coldSlots: number;
    readonly connections: number;
    readonly serviceTime: targets.ServiceTime;
    readonly deadlineMs: number;
    readonly maxBodyBytes: number;
    /** Routes as `METHOD /path`. */
    readonly idempotent: readonly string[];
    readonly nonIdempotent: readonly string[];
}

export interface DeploymentPlan {
    readonly name: string;
    readonly region: string;
    readonly zones: readonly string[];
    /** One-way delay between zones, in milliseconds. */
    readonly linkDelayMs: number;
    /** Number of entry VMs, assigned to the zones in turn. */
    readonly entries: number;
    readonly services: readonly ServicePlan[];
}

export interface PlannedTarget {
    readonly service: ServicePlan;
    readonly spec: targets.TargetSpec;
}

/** A process that the harness started and stops by its id. */
export interface ManagedProcess {
    readonly name: string;
    readonly pid: number;
    /** Returns the latest lines of standard output and standard error. */
    readonly listLines: () => readonly string[];
    readonly waitForLine: (isWanted: (line: string) => boolean, timeoutMs: number) => Promise<string>;
    /** Sends a signal, for example SIGKILL, SIGTERM, SIGSTOP or SIGCONT. */
    readonly sendSignal: (signal: NodeJS.Signals) => void;
    /** Resolves with the exit code, or with the signal that terminated the process. */
    readonly waitForExit: () => Promise<number | NodeJS.Signals>;
    readonly child: childProcess.ChildProcess;
}

export interface EntryVm {
    readonly vm: string;
    readonly zone: string;
    readonly listen: string;
    readonly control: string;
    /** Address at which peers reach the control port; with control relays, the address of the relay. */
    readonly advertisedControl: string;
    readonly process: ManagedProcess;
}

export interface SystemOptions {
    readonly plan: DeploymentPlan;
    readonly seed: number;
    /** Additional flags of the daemon, for example `["--freshness-ms", "2000"]`. */
    readonly entryArgs?: readonly string[];
    /** Additional environment variables of the daemon. */
    readonly entryEnv?: Readonly<Record<string, string>>;
    /** Settings that replace the defaults of all targets. */
    readonly targetSpec?: Partial<targets.TargetSpec>;
    /** Whether each entry VM reaches the platform through its own relay. */
    readonly hasPlatformRelays?: boolean;
    /** Whether peers and operators reach the control port of each entry VM through a relay. */
    readonly hasControlRelays?: boolean;
    /** Timeout for each step of the startup. */
    readonly startTimeoutMs?: number;
}

export type PublishResult = { readonly exitCode: number | NodeJS.Signals; readonly lines: readonly string[] };

export type SetPlatformFaults = (change: platform.PlatformFaultChange) => Promise<void>;
