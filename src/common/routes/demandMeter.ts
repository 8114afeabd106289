/**
 * Demand that a VM reports to its peers: requests, bytes and time by service, in coarse steps, as each change is sent to
 * all VMs.
 */
import * as shared from "../Types.js";
import * as rate from "./rate.js";
import * as targetPool from "./targetPool.js";
import * as types from "./Types.js";

/** Weight of one response in the moving averages. */
const sampleWeight = 0.05;
/** Bytes and times decide whether crossing zones is expensive, for which a factor is enough. */
const meanRoundingFactor = 1.5;
/** Requests per second are those of one VM for one service. */
const rateRoundingFactor = 1.5;
/** Bounds the reports of a configuration with very many services; those with the most requests are reported. */
const maxServices = 16;

export interface DemandMeter {
    /** Records a response of a target. */
    record(service: shared.ServiceName, workMs: number, bytes: number): void;
    /** Demand by service; without services that have hardly any requests. */
    list(): readonly types.ServiceDemand[];
}

interface ServiceMeter {
    readonly requests: rate.RateMeter;
    bytes: number;
    workMs: number;
    readonly roundRate: (value: number) => number;
    readonly roundBytes: (value: number) => number;
    readonly roundMs: (value: number) => number;
}

/**
 * Creates a meter without responses.
 *
 * @param clock - the clock
 * @returns the meter
 */
export const createDemandMeter = (clock: shared.Clock): DemandMeter => {
    const meters = new Map<shared.ServiceName, ServiceMeter>();

    const createMeter = (workMs: number, bytes: number): ServiceMeter => ({
        requests: rate.createRateMeter(clock),
        bytes,
        workMs,
        roundRate: rate.createSteadyRounding(rateRoundingFactor),
        roundBytes: rate.createSteadyRounding(meanRoundingFactor),
        roundMs: rate.createSteadyRounding(meanRoundingFactor),
    });

    return {
        record: (service, workMs, bytes) => {
            const meter = meters.get(service) ?? createMeter(workMs, bytes);
            meters.set(service, meter);
            meter.requests.record();
            meter.bytes += sampleWeight * (bytes - meter.bytes);
            meter.workMs += sampleWeight * (workMs - meter.workMs);
        },
        list: () =>
            [...meters]
                .map(([service, meter]) => ({
                    service,
                    perSecond: meter.roundRate(meter.requests.compute()),
                    bytes: meter.roundBytes(meter.bytes),
                    workMs: meter.roundMs(meter.workMs),
                }))
                .filter(({ perSecond }) => perSecond > 0)
                .sort((left, right) => (left.service < right.service ? -1 : 1))
                .slice(0, maxServices),
    };
};

/**
 * Records the responses of the targets that a pool picks.
 *
 * @param pick - picks a target
 * @param meter - the meter
 * @returns the same choice, whose reservations record their responses
 */
export const watchPicks =
    (pick: targetPool.TargetPool["pick"], meter: DemandMeter): targetPool.TargetPool["pick"] =>
    request => {
        const result = pick(request);
        if (result.kind !== "target") {
            return result;
        }
        const { reservation } = result;
        const finish: targetPool.Reservation["finish"] = (outcome, report) => {
            if (outcome.kind === "answered") {
                meter.record(request.service, outcome.latencyMs, request.bodyBytes + outcome.responseBytes);
            }
            reservation.finish(outcome, report);
        };
        return { kind: "target", reservation: { ...reservation, finish } };
    };
