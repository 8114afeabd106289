import test from "ava";
import * as ids from "../ids.js";
import * as publishedLoads from "./publishedLoads.js";

// An endless wait became null in JSON, so peers dropped whole gossip answers and lost members that were alive.
test("the load of a cell without capacity can be sent as JSON", t => {
    const load = {
        cell: ids.toCellId(ids.toServiceName("bookings"), ids.toZoneName("zone-a")),
        owner: ids.toVmId("entry-1"),
        freeSlots: 0,
        queued: 3,
        expectedWaitMs: Infinity,
        measuredAtMs: 0,
    };
    const published = publishedLoads.toPublishedLoads([load]);
    t.deepEqual(JSON.parse(JSON.stringify(published)), published);
    t.true((published[0]?.expectedWaitMs ?? 0) >= 600_000);
});
