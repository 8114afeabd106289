/**
 * Types of scenarios that cause failures in a running system, and of their results.
 */
import * as switches from "../../node/entry/unsafeSwitches.js";
import * as callers from "../caller/Types.js";
import * as history from "../history/Types.js";
import * as system from "../system/system.js";
import * as systemTypes from "../system/Types.js";

/** A single request to a given entry VM, sent without lookup and retries. */
export interface DirectRequest {
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

export interface DirectResponse {
    readonly outcome: string | undefined;
    readonly error: string | undefined;
    readonly status: number | undefined;
    readonly target: string | undefined;
    readonly isReplayed: boolean;
    /** Undefined if the response does not come from a target. */
    readonly responseCheck: history.ResponseCheck | undefined;
}

/** Background calls of several workers, each of which runs one call at a time. */
export interface Traffic {
    /** Stops the workers once their calls in flight have ended. */
    readonly stop: () => Promise<readonly callers.CallResult[]>;
    /** Resolves when this number of further calls have run. */
    readonly waitForRuns: (count: number) => Promise<void>;
}

export interface TrafficOptions {
    readonly workers: number;
    readonly createRequest: (number: number) => callers.CallRequest;
    /** Lists the entry VMs to send lookups to; all by default. */
    readonly listEntries?: () => readonly systemTypes.EntryVm[];
    readonly pauseMs?: number;
    readonly maxTries?: number;
}

/** Violation of a rule that the scenario checks itself, in addition to the history checker. */
export interface ScenarioViolation {
    readonly rule: string;
    readonly message: string;
}

export interface Context {
    readonly system: system.System;
    readonly seed: number;
    readonly send: (request: DirectRequest) => Promise<DirectResponse>;
    readonly startTraffic: (options: TrafficOptions) => Traffic;
    readonly addCallerEvent: (event: history.CallerEvent) => void;
    readonly addRemoval: (removal: history.ZoneRemoval) => void;
    readonly addViolation: (rule: string, message: string) => void;
    readonly listCallerEvents: () => readonly history.CallerEvent[];
    /** Waits until a condition holds; fails the run on timeout. */
    readonly waitFor: (what: string, isTrue: () => boolean | Promise<boolean>) => Promise<void>;
    readonly addNote: (text: string) => void;
}

export interface Scenario {
    readonly name: string;
    /** Requirements of section 1.1 of the design that the scenario checks. */
    readonly requirements: readonly string[];
    /** With each of these safety mechanisms switched off, the run must violate one of the rules. */
    readonly negativeControls: readonly { readonly unsafe: switches.UnsafeSwitch; readonly rules: readonly string[] }[];
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
    /** Last log lines of each process. */
    readonly logs: Readonly<Record<string, readonly string[]>>;
    /** Why the scenario did not finish; undefined if it did. */
    readonly error: Error | undefined;
}
