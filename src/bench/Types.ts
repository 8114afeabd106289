/**
 * Scenarios and results of the benchmarks.
 */
import * as callers from "../testing/caller/Types.js";
import * as platform from "../testing/platform/Types.js";
import * as targets from "../testing/targets/Types.js";

/** Compares direct calls with calls through a minimal forwarder and through the entry daemon. */
export interface OverheadScenario {
    readonly kind: "overhead";
    readonly name: string;
    readonly seed: number;
    readonly ratePerSecond: number;
    readonly warmUpMs: number;
    readonly durationMs: number;
    /** Number of times that each path is measured; the paths alternate. */
    readonly rounds: number;
    readonly closedLoopConnections: number;
    readonly closedLoopMs: number;
    readonly serviceTime: targets.ServiceTime;
    readonly logLevel: string;
}

/** Component that forwards calls to targets. `twoRandom` is alternative (a) of section 2.1 of the design. */
export type Router = "entry" | "twoRandom";

export interface CallLoad {
    readonly service: string;
    readonly ratePerSecond: number;
    readonly method: string;
    /** `{n}` is replaced by the call number. */
    readonly path: string;
    readonly bodyBytes: number;
    readonly deadlineMs: number;
    readonly key: callers.CallKey["kind"];
    readonly isIdempotent: boolean;
}

/** Fault, operator command or signal at a given time of the run. */
export interface TimedFault {
    readonly atMs: number;
    readonly targets?: readonly string[] | undefined;
    readonly change?: targets.TargetFaultChange | undefined;
    readonly platform?: platform.PlatformFaultChange | undefined;
    /** Operator command, as in `["zone", "out", "mareeba-a"]`. */
    readonly command?: readonly string[] | undefined;
    /** Entry VM whose process receives the signal. */
    readonly vm?: string | undefined;
    readonly signal?: string | undefined;
}

export interface PolicyScenario {
    readonly kind: "policy";
    readonly name: string;
    readonly seed: number;
    readonly deployment: "fraserbank" | "mareeba";
    readonly entries: number;
    readonly routers: readonly Router[];
    /** Latencies of calls during this time are not recorded; their outcomes are counted. */
    readonly warmUpMs: number;
    readonly durationMs: number;
    readonly loads: readonly CallLoad[];
    readonly faults: readonly TimedFault[];
    /** Settings that override those of all targets, as in `{ coldForMs: 3000 }`. */
    readonly targetSpec: Partial<targets.TargetSpec>;
}

export type Scenario = OverheadScenario | PolicyScenario;

/** Metric values by name, as in `entry.addedP99Ms`. */
export type Metrics = Readonly<Record<string, number>>;

export interface BenchResult {
    readonly scenario: Scenario;
    readonly node: string;
    readonly cpus: number;
    readonly startedAt: string;
    readonly metrics: Metrics;
    /** Violations found by the history checker, for scenarios that record histories. */
    readonly violations: readonly string[];
}

/** Load that one generator process runs. */
export type LoadJob =
    | {
          readonly kind: "open";
          /** URL of each call. */
          readonly url: string;
          readonly ratePerSecond: number;
          readonly warmUpMs: number;
          readonly durationMs: number;
          readonly seed: number;
      }
    | {
          readonly kind: "closed";
          readonly url: string;
          readonly connections: number;
          readonly durationMs: number;
      }
    | {
          readonly kind: "calls";
          /** Router addresses by zone of the caller. */
          readonly addresses: Readonly<Record<string, readonly string[]>>;
          readonly loads: readonly CallLoad[];
          readonly warmUpMs: number;
          readonly durationMs: number;
          readonly seed: number;
          /** Receives the callers' events as JSON. */
          readonly historyFile: string;
      };
