import test from "ava";
import * as drainDecision from "./drainDecision.js";

const upload = { kind: "upload", objectiveMs: 400 } as const;
const read = { kind: "idempotent", objectiveMs: 300 } as const;
const unknown = { samples: 0, longestMs: 0 };
const wellKnown = { samples: 64, longestMs: 1_000 };

const cases: readonly (readonly [name: string, work: Partial<drainDecision.DrainingWork>, mayBegin: boolean])[] = [
    ["an early request of which nothing is known", { drainingMs: 1_000 }, true],
    ["an early request that is expected to take longer", { route: { ...upload, objectiveMs: 3_000 } }, false],
    ["a late request of which nothing is known", { drainingMs: 2_800 }, false],
    ["a late request that is hardly known", { drainingMs: 2_800, known: { samples: 3, longestMs: 100 } }, false],
    ["a late request that ends by its own deadline", { drainingMs: 2_800, deadlineLeftMs: 1_500 }, true],
    ["a late request that has time left beyond the end", { drainingMs: 2_800, deadlineLeftMs: 2_450 }, false],
    ["a late request that is known to be short", { drainingMs: 2_800, known: wellKnown }, true],
    ["a late request that is known to be long", { known: { samples: 64, longestMs: 2_000 } }, false],
    ["a late idempotent request of which nothing is known", { route: read, drainingMs: 2_800 }, true],
    ["an idempotent request with too little time", { route: read, drainingMs: 2_800, leftMs: 250 }, false],
    [
        "an idempotent request behind one that takes long",
        { route: read, known: { samples: 0, longestMs: 1_700 } },
        false,
    ],
    ["a request after the end", { known: wellKnown, leftMs: -10 }, false],
];

for (const [name, work, mayBegin] of cases) {
    // Guards against work that is begun and cut off when the VM stops.
    test(`${name} ${mayBegin ? "may" : "may not"} begin`, t => {
        const decided = drainDecision.mayBegin({
            route: upload,
            known: unknown,
            deadlineLeftMs: 20_000,
            drainingMs: 1_000,
            leftMs: 2_500,
            ...work,
        });
        t.is(decided, mayBegin);
    });
}
