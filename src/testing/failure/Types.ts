/**
 * Scenarios that bring about failures in a running system, and what they record.
 */
import * as switches from "../../node/entry/unsafeSwitches.js";
import * as callers from "../caller/Types.js";
import * as history from "../history/Types.js";
import * as system from "../system/system.js";
import * as systemTypes from "../system/Types.js";

/** Sends single requests to chosen entry VMs and records them. */
export interface DirectSending {
    readonly entry: systemTypes.EntryVm;
    readonly call: string;
    readonly service: string;
    readonly method?: string;
    readonly path: string;
    readonly key?: string;
    readonly body?: Buffer;
    readonly deadlineMs?: number;
    readonly isIdempotent?: boolean;
}

export interface DirectAnswer {
    readonly outcome: string | undefined;
    readonly error: string | undefined;
    readonly status: number | undefined;
    readonly target: string | undefined;
    readonly isReplayed: boolean;
    /** Undefined if the answer is not a target's. */
    readonly answer: history.AnswerCheck | undefined;
}

/** Calls in the background, one after another in each of several workers. */
export interface Traffic {
    /** Ends the workers after their calls in flight. */
    readonly stop: () => Promise<readonly callers.CallResult[]>;
    /** Resolves when this many more calls have run. */
    readonly waitForRuns: (count: number) => Promise<void>;
}

export interface TrafficOptions {
    readonly workers: number;
    readonly createRequest: (number: number) => callers.CallRequest;
    /** Entry VMs to look up at; all by default. */
    readonly entries?: () => readonly systemTypes.EntryVm[];
    readonly pauseMs?: number;
    readonly maxSendings?: number;
}

/** Violations of a scenario's own rules, in addition to those of the history checker. */
export interface ScenarioViolation {
    readonly rule: string;
    readonly message: string;
}

export interface Context {
    readonly system: system.System;
    readonly seed: number;
    readonly send: (sending: DirectSending) => Promise<DirectAnswer>;
    readonly startTraffic: (options: TrafficOptions) => Traffic;
    readonly addCallerEvent: (event: history.CallerEvent) => void;
    readonly addRemoval: (removal: history.ZoneRemoval) => void;
    readonly addViolation: (rule: string, message: string) => void;
    readonly listCallerEvents: () => readonly history.CallerEvent[];
    /** Waits until a condition holds; fails the run after a generous time. */
    readonly waitFor: (what: string, isTrue: () => boolean | Promise<boolean>) => Promise<void>;
    readonly note: (text: string) => void;
}

export interface Scenario {
    readonly name: string;
    /** Requirements of section 1.1 of the design that it proves. */
    readonly proves: readonly string[];
    /** Each of these switches must lead to a violation of one of the rules. */
    readonly teeth: readonly { readonly unsafe: switches.UnsafeSwitch; readonly rules: readonly string[] }[];
    readonly seed: number;
    readonly plan: systemTypes.DeploymentPlan;
    readonly entryArgs?: readonly string[];
    readonly hasPlatformRelays?: boolean;
    readonly hasControlRelays?: boolean;
    readonly run: (context: Context) => Promise<void>;
}

export interface ScenarioResult {
    readonly violations: readonly (history.Violation | ScenarioViolation)[];
    readonly history: history.History;
    readonly notes: readonly string[];
    /** Last log lines by process. */
    readonly logs: Readonly<Record<string, readonly string[]>>;
    /** Why the scenario did not come to its end; undefined if it did. */
    readonly error: Error | undefined;
}
