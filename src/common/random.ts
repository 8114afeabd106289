/**
 * Seeded random numbers.
 */
import * as uniformFloat from "pure-rand/distribution/uniformFloat32";
import * as uniformInt from "pure-rand/distribution/uniformInt";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as types from "./Types.js";

/**
 * Creates a reproducible source of random numbers.
 *
 * @param seed - an integer; equal seeds give equal sequences
 * @returns the source
 */
export const createRandom = (seed: number): types.Random => {
    const generator = xoroshiro.xoroshiro128plus(seed);
    return {
        nextFloat: () => uniformFloat.uniformFloat32(generator),
        nextInt: bound => uniformInt.uniformInt(generator, 0, bound - 1),
    };
};
