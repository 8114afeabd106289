/**
 * State of a target: boots, cold start, slots, reports and history.
 */
import * as random from "../../common/random.js";
import * as history from "../history/Types.js";
import * as httpServer from "../http/httpServer.js";
import * as serviceTime from "./serviceTime.js";
import * as types from "./Types.js";

export type CallFields = Pick<history.TargetEvent, "key" | "attempt" | "requestId" | "method" | "path">;

/** A call that holds a slot. */
export interface RunningCall {
    readonly fields: CallFields;
    readonly number: number;
    readonly boot: string;
}

export type Admission =
    | { readonly kind: "started"; readonly run: RunningCall }
    | { readonly kind: "refused"; readonly cause: "draining" | "busy" }
    /** The target must crash because of too many calls in cold start or a poison request. */
    | { readonly kind: "crash" };

export interface TargetState {
    readonly faults: types.TargetFaults;
    readonly events: readonly history.TargetEvent[];
    begin(fields: CallFields): Admission;
    finish(run: RunningCall, kind: "finished" | "cancelled"): void;
    record(kind: history.TargetEventKind, run?: RunningCall, more?: Partial<history.TargetEvent>): void;
    setFaults(change: Partial<types.TargetFaults>): void;
    turnCold(): void;
    /** Drops all running calls and begins a new boot. */
    crash(): void;
    getReport(): types.TargetReport;
    pickServiceTimeMs(): number;
    isRestarting(): boolean;
}

/** Factor on the service times of a collapsed target until its running calls have ended. */
const collapseSlowdown = 50;
const maxLoadSamples = 10_000;

const noFaults: types.TargetFaults = {
    isDraining: false,
    slowFactor: 1,
    reportLagMs: 0,
    echoesAttempt: true,
    restartMs: 0,
};

interface LoadSample {
    readonly atMs: number;
    readonly busy: number;
    readonly state: types.TargetReport["state"];
}

/**
 * Creates the state of a target at its first boot.
 *
 * @param spec - specification of the target
 * @param now - returns the current time in milliseconds
 * @returns the state
 */
export const createTargetState = (spec: types.TargetSpec, now = httpServer.readMachineClockMs): TargetState => {
    const generator = random.createRandom(spec.seed);
    const events: history.TargetEvent[] = [];
    const running = new Set<RunningCall>();
    let loads: LoadSample[] = [];
    let faults = noFaults;
    let bootNumber = 1;
    let coldSinceMs = now();
    let callsSinceCold = 0;
    let isCollapsed = false;
    let crashedAtMs = -Infinity;
    let lastRun = 0;

    const getBoot = (): string => `${spec.id}-${spec.seed}-${process.pid}-${bootNumber}`;
    const isCold = (): boolean => now() - coldSinceMs < spec.coldForMs || callsSinceCold < spec.coldForCalls;
    const getState = (): types.TargetReport["state"] => (faults.isDraining ? "draining" : isCold() ? "cold" : "warm");

    const recordLoad = (): void => {
        loads.push({ atMs: now(), busy: running.size, state: getState() });
        if (loads.length > 2 * maxLoadSamples) {
            loads = loads.slice(-maxLoadSamples);
        }
    };

    const record: TargetState["record"] = (kind, run, more = {}) => {
        if (!spec.recordsHistory) {
            return;
        }
        events.push({
            kind,
            atMs: now(),
            target: spec.id,
            zone: spec.zone,
            boot: getBoot(),
            cold: isCold(),
            running: running.size,
            ...(run === undefined ? {} : { run: run.number, ...run.fields }),
            ...more,
        });
    };

    const beginColdStart = (): void => {
        coldSinceMs = now();
        callsSinceCold = 0;
    };

    return {
        get faults() {
            return faults;
        },
        events,
        begin: fields => {
            if (faults.isDraining || running.size >= spec.slots) {
                record("refused", undefined, fields);
                return { kind: "refused", cause: faults.isDraining ? "draining" : "busy" };
            }
            const run: RunningCall = { fields, number: ++lastRun, boot: getBoot() };
            running.add(run);
            recordLoad();
            record("started", run);
            if (isCold() && running.size > spec.coldSlots) {
                record("collapsed", run);
                isCollapsed = true;
                if (spec.collapse === "crash") {
                    return { kind: "crash" };
                }
            }
            if (faults.poison !== undefined && fields.path?.includes(faults.poison) === true) {
                return { kind: "crash" };
            }
            return { kind: "started", run };
        },
        finish: (run, kind) => {
            if (!running.delete(run)) {
                return;
            }
            callsSinceCold += kind === "finished" ? 1 : 0;
            isCollapsed = isCollapsed && running.size > 0;
            recordLoad();
            record(kind, run);
        },
        record,
        setFaults: change => {
            faults = { ...faults, ...change };
        },
        turnCold: () => {
            beginColdStart();
            record("turnedCold");
        },
        crash: () => {
            running.clear();
            isCollapsed = false;
            record("crashed");
            bootNumber++;
            crashedAtMs = now();
            beginColdStart();
            recordLoad();
        },
        getReport: () => {
            const atMs = now() - faults.reportLagMs;
            const current: LoadSample = { atMs, busy: running.size, state: getState() };
            const seen = faults.reportLagMs === 0 ? current : (loads.findLast(load => load.atMs <= atMs) ?? current);
            return {
                state: faults.reportState ?? seen.state,
                busy: faults.reportBusy ?? seen.busy,
                boot: getBoot(),
            };
        },
        pickServiceTimeMs: () =>
            serviceTime.pickServiceTimeMs(spec.serviceTime, generator) *
            faults.slowFactor *
            (isCollapsed ? collapseSlowdown : 1),
        isRestarting: () => now() - crashedAtMs < faults.restartMs,
    };
};
