/**
 * Seeded random number generator.
 */
import * as uniformFloat from "pure-rand/distribution/uniformFloat32";
import * as uniformInt from "pure-rand/distribution/uniformInt";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as types from "./Types.js";

/** The generator mixes a small seed slowly: without warm-up, its first numbers are close to 1 for every seed. */
const warmUpSteps = 32;

/**
 * Creates a reproducible random number generator.
 *
 * @param seed - an integer; equal seeds produce equal sequences
 * @returns the generator
 */
export const createRandom = (seed: number): types.Random => {
    const generator = xoroshiro.xoroshiro128plus(seed);
    for (let step = 0; step < warmUpSteps; step++) {
        uniformFloat.uniformFloat32(generator);
    }
    return {
        nextFloat: () => uniformFloat.uniformFloat32(generator),
        nextInt: bound => uniformInt.uniformInt(generator, 0, bound - 1),
    };
};

/**
 * Puts items into a random order.
 *
 * @param items - the items
 * @param random - random numbers
 * @returns a new list
 */
export const shuffle = <T>(items: readonly T[], random: types.Random): T[] =>
    items
        .map(item => ({ item, order: random.nextFloat() }))
        .sort((left, right) => left.order - right.order)
        .map(({ item }) => item);
