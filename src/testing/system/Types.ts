/**
 * A whole system as separate processes on loopback, for end-to-end tests, the demo and experiments.
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
    /** `METHOD /path`. */
    readonly idempotent: readonly string[];
    readonly nonIdempotent: readonly string[];
}

export interface DeploymentPlan {
    readonly name: string;
    readonly region: string;
    readonly zones: readonly string[];
    /** One-way delay between zones. */
    readonly linkDelayMs: number;
    /** Entry VMs; the zones take turns. */
    readonly entries: number;
    readonly services: readonly ServicePlan[];
}

export interface PlannedTarget {
    readonly service: ServicePlan;
    readonly spec: targets.TargetSpec;
}

/** One process that the harness started, and ends by its id. */
export interface ManagedProcess {
    readonly name: string;
    readonly pid: number;
    /** The last lines of standard output and error. */
    readonly listLines: () => readonly string[];
    readonly waitForLine: (isWanted: (line: string) => boolean, timeoutMs: number) => Promise<string>;
    /** As in `kill -9`, SIGSTOP, SIGCONT and SIGTERM. */
    readonly sendSignal: (signal: NodeJS.Signals) => void;
    /** Resolves with the exit code, or with the signal that ended the process. */
    readonly waitForExit: () => Promise<number | NodeJS.Signals>;
    readonly child: childProcess.ChildProcess;
}

export interface EntryVm {
    readonly vm: string;
    readonly zone: string;
    readonly listen: string;
    readonly control: string;
    /** Address by which peers reach the control port; that of a relay if there are control relays. */
    readonly advertisedControl: string;
    readonly process: ManagedProcess;
}

export interface SystemOptions {
    readonly plan: DeploymentPlan;
    readonly seed: number;
    /** More flags of the daemon, as in `["--freshness-ms", "2000"]`. */
    readonly entryArgs?: readonly string[];
    /** More environment variables of the daemon. */
    readonly entryEnv?: Readonly<Record<string, string>>;
    /** Overrides for all targets. */
    readonly targetSpec?: Partial<targets.TargetSpec>;
    /** True: each entry VM reaches the platform through its own relay. */
    readonly hasPlatformRelays?: boolean;
    /** True: peers and operators reach the control port of each entry VM through a relay. */
    readonly hasControlRelays?: boolean;
    /** Time for the start of the daemons. */
    readonly startTimeoutMs?: number;
}

export type PublishResult = { readonly exitCode: number | NodeJS.Signals; readonly lines: readonly string[] };

export type SetPlatformFaults = (change: platform.PlatformFaultChange) => Promise<void>;
