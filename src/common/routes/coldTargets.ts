/**
 * The rate of requests to cold targets, from all VMs together.
 */
import * as shared from "../Types.js";
import * as ownedRates from "./ownedRates.js";
import * as types from "./Types.js";

/** Several VMs share the rate of a cold target, so that it gets requests of all zones, if each gets this much of it. */
const minPerOwner = 2;

export interface ColdTargets {
    /** Whether this VM may send a request to a cold target now. */
    hasCapacity(registration: types.Registration): boolean;
    /** Counts a request that is sent to a cold target. */
    recordRequest(registration: types.Registration): void;
    /** Forgets the targets that are not known any more. */
    retainTargets(isKnown: (id: shared.TargetId) => boolean): void;
    /** Must be called several times per second, so that pauses of this VM are noticed. */
    refresh(): void;
}

export interface ColdTargetsOptions {
    readonly clock: shared.Clock;
    readonly vm: shared.VmId;
    getRateView(): ownedRates.RateView;
    getService(name: shared.ServiceName): types.RoutedService | undefined;
}

/**
 * Creates the rates, initially unused.
 *
 * @param options - the clock, this VM's view of the others, and the rates of the services
 * @returns the rates
 */
export const createColdTargets = (options: ColdTargetsOptions): ColdTargets => {
    const rates = ownedRates.createOwnedRates({
        clock: options.clock,
        vm: options.vm,
        minPerOwner,
        getView: options.getRateView,
    });
    const getPerSecond = ({ service }: types.Registration): number => options.getService(service)?.coldPerSecond ?? 0;

    return {
        hasCapacity: registration => rates.computeWaitMs(registration.id, getPerSecond(registration)) === 0,
        recordRequest: registration => rates.take(registration.id, getPerSecond(registration)),
        retainTargets: isKnown => rates.retain(key => isKnown(key as shared.TargetId)),
        refresh: rates.refresh,
    };
};
