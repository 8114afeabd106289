import test from "ava";
import * as random from "./random.js";

// Regression test: without warm-up the first number was close to 1 for every small seed, so that all experiments
// started with similar draws.
test("the first numbers for small seeds are spread over the range", t => {
    const firsts = Array.from({ length: 100 }, (_, seed) => random.createRandom(seed).nextFloat());
    for (let part = 0; part < 4; part++) {
        t.true(firsts.some(value => value >= part / 4 && value < (part + 1) / 4));
    }
    t.deepEqual(random.createRandom(7).nextFloat(), firsts[7]);
});
