import test from "ava";
import * as ids from "../../common/ids.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as frontDuties from "./frontDuties.js";

const createDuties = (vm: string, fields: Partial<frontDuties.FrontDutiesOptions> = {}) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const peers = [
        fixture.createPeer("hub"),
        fixture.createPeer("front", { startedAtMs: 2 }),
        fixture.createPeer("other", { startedAtMs: 3 }),
    ];
    let listed = 0;
    const duties = frontDuties.createFrontDuties({
        logger: silentLogger.createSilentLogger(),
        vm: ids.toVmId(vm),
        clock: scheduler,
        isConnected: () => true,
        listPeers: () => {
            listed++;
            return peers;
        },
        countKnown: () => 3,
        getZoneSlots: () => new Map(),
        computeRequestRate: () => 50,
        ...fields,
    });
    return { scheduler, duties, countListed: () => listed };
};

test("only a front with requests probes", t => {
    t.true(createDuties("front").duties.mayProbe(fixture.zone));
    t.true(createDuties("front").duties.mayProbe(fixture.otherZone));
    t.false(createDuties("other").duties.mayProbe(fixture.zone));
    t.false(createDuties("front", { computeRequestRate: () => 0 }).duties.mayProbe(fixture.zone));
});

test("the parts of the extra retries sum up to less than the whole", t => {
    const parts = ["hub", "front", "other"].map(vm => createDuties(vm).duties.computeExtraShare());
    t.true(parts.reduce((sum, part) => sum + part, 0) < 1);
    t.true(createDuties("front", { isConnected: () => false }).duties.computeExtraShare() < 0.2);
});

test("the peers are sorted once in a while, not for each question", async t => {
    const { duties, scheduler, countListed } = createDuties("front");
    for (let count = 0; count < 1_000; count++) {
        duties.mayProbe(fixture.zone);
    }
    t.is(countListed(), 1);
    await scheduler.advance(100);
    duties.listFronts();
    t.is(countListed(), 2);
});
