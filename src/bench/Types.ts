/**
 * Scenarios and results of the bench.
 */
import * as callers from "../testing/caller/Types.js";
import * as platform from "../testing/platform/Types.js";
import * as targets from "../testing/targets/Types.js";

/** Compares direct calls with a bare forwarder and with the entry daemon. */
export interface OverheadScenario {
    readonly kind: "overhead";
    readonly name: string;
    readonly seed: number;
    readonly ratePerSecond: number;
    readonly warmUpMs: number;
    readonly durationMs: number;
    /** Each path is measured this many times, in turns. */
    readonly rounds: number;
    readonly closedLoopConnections: number;
    readonly closedLoopMs: number;
    readonly serviceTime: targets.ServiceTime;
    readonly logLevel: string;
}

/** Who forwards calls to targets. `twoRandom` is alternative (a) of section 2.1 of the design. */
export type Router = "entry" | "twoRandom";

export interface CallLoad {
    readonly service: string;
    readonly ratePerSecond: number;
    readonly method: string;
    /** `{n}` stands for the number of the call. */
    readonly path: string;
    readonly bodyBytes: number;
    readonly deadlineMs: number;
    readonly key: callers.CallKey["kind"];
    readonly isIdempotent: boolean;
}

/** Something that happens at a time of the run. */
export interface TimedFault {
    readonly atMs: number;
    readonly targets?: readonly string[] | undefined;
    readonly change?: targets.TargetFaultChange | undefined;
    readonly platform?: platform.PlatformFaultChange | undefined;
    /** Command of the operators, as in `["zone", "out", "mareeba-a"]`. */
    readonly command?: readonly string[] | undefined;
    /** Entry VM that gets the signal. */
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
    /** Latencies of calls in this time are not counted; outcomes are. */
    readonly warmUpMs: number;
    readonly durationMs: number;
    readonly loads: readonly CallLoad[];
    readonly faults: readonly TimedFault[];
    /** Overrides for all targets, as in `{ coldForMs: 3000 }`. */
    readonly targetSpec: Partial<targets.TargetSpec>;
}

export type Scenario = OverheadScenario | PolicyScenario;

/** Numbers by name, as in `entry.addedP99Ms`. */
export type Metrics = Readonly<Record<string, number>>;

export interface BenchResult {
    readonly scenario: Scenario;
    readonly node: string;
    readonly cpus: number;
    readonly startedAt: string;
    readonly metrics: Metrics;
    /** What the checker found in the histories, for scenarios that record them. */
    readonly violations: readonly string[];
}

/** Work of one load generator process. */
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
          /** Addresses of routers, by zone of the caller. */
          readonly addresses: Readonly<Record<string, readonly string[]>>;
          readonly loads: readonly CallLoad[];
          readonly warmUpMs: number;
          readonly durationMs: number;
          readonly seed: number;
          /** Gets the callers' events as JSON. */
          readonly historyFile: string;
      };
