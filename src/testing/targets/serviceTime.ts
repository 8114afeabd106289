/**
 * Samples service times with a seeded generator.
 */
import * as common from "../../common/Types.js";
import * as types from "./Types.js";

const computeNormal = (random: common.Random): number => {
    const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()));
    return radius * Math.cos(2 * Math.PI * random.nextFloat());
};

/**
 * Samples the service time of one call.
 *
 * @param time - the distribution
 * @param random - the generator
 * @returns the service time in milliseconds
 */
export const pickServiceTimeMs = (time: types.ServiceTime, random: common.Random): number => {
    switch (time.kind) {
        case "fixed":
            return time.ms;
        case "exponential":
            return -time.meanMs * Math.log(1 - random.nextFloat());
        case "logNormal":
            return time.medianMs * Math.exp(time.sigma * computeNormal(random));
    }
};
