import test from "ava";
import * as config from "../config/Types.js";
import * as ids from "../ids.js";
import * as publishedLoads from "./publishedLoads.js";
import * as types from "./Types.js";

const zones = ["a", "b"].map(ids.toZoneName);

const configuration = {
    services: new Map([
        [ids.toServiceName("s"), { service: ids.toServiceName("s"), targets: zones.map(zone => ({ zone })) }],
    ]),
} as unknown as config.Configuration;

const createLoad = (zone: string, freeSlots: number, queued: number, expectedWaitMs: number): types.CellLoad => ({
    cell: ids.toCellId(ids.toServiceName("s"), ids.toZoneName(zone)),
    owner: ids.toVmId("v"),
    freeSlots,
    queued,
    expectedWaitMs,
    measuredAtMs: 0,
});

const format = (...loads: readonly types.CellLoad[]): string => publishedLoads.formatLoads(configuration, loads);

test("decoded loads differ from the encoded ones by a few per cent at most, and unknown cells are left out", t => {
    const text = format(createLoad("b", 3, 0, 1000), createLoad("a", 0, 1, 7), createLoad("unknown", 1, 1, 1));
    const loads = publishedLoads.parseLoads(configuration, text);
    t.deepEqual(
        loads.map(load => [load.cell as string, load.freeSlots, load.queued]),
        [
            ["s/a", 0, 1],
            ["s/b", 3, 0],
        ],
    );
    t.is(loads[0]?.expectedWaitMs, 7);
    t.true(Math.abs((loads[1]?.expectedWaitMs ?? 0) / 1000 - 1) < 0.05);
});

test("small changes of load are not significant, but a cell without free slots and a doubled wait are", t => {
    const before = format(createLoad("a", 4, 0, 100));
    t.false(publishedLoads.hasSignificantChange(before, format(createLoad("a", 5, 0, 120))));
    t.true(publishedLoads.hasSignificantChange(before, format(createLoad("a", 0, 0, 100))));
    t.true(publishedLoads.hasSignificantChange(before, format(createLoad("a", 4, 0, 210))));
    t.true(publishedLoads.hasSignificantChange(before, format(createLoad("b", 4, 0, 100))));
    t.true(publishedLoads.hasSignificantChange(before, format()));
});

// Guards against an infinite wait in JSON: it became null, so peers dropped whole gossip responses and live members.
test("the infinite wait of a cell without capacity is decoded as a long finite wait", t => {
    const [load] = publishedLoads.parseLoads(configuration, format(createLoad("a", 0, 3, Infinity)));
    t.true(Number.isFinite(load?.expectedWaitMs) && (load?.expectedWaitMs ?? 0) >= 600_000);
});
