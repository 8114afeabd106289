import test from "ava";
import * as blackboards from "../../common/blackboard/blackboard.js";
import * as fixtures from "../../common/routing/fixture.js";
import * as ids from "../../common/ids.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as startGate from "./startGate.js";

const createSetup = (listed: readonly string[]) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const self = fixtures.createMember("e1", "a");
    const board = blackboards.createBlackboard(self.info);
    const world = memoryPlatform.createMemoryPlatform();
    world.setVms(
        listed.map(vm => ({ vm: ids.toVmId(vm), role: "entry", state: "live", zone: ids.toZoneName("a") }) as const),
    );
    const seen = { ready: 0 };
    const onReady = (): void => void seen.ready++;
    startGate.createStartGate({ board, vmList: world.vms, scheduler, memberTimeoutMs: 5_000, onReady });
    const setConfirmed = board.freshness.takeWriter("test");
    const setMembers = board.members.takeWriter("test");
    return { scheduler, self, seen, setConfirmed, setMembers };
};

const confirmed = { revision: ids.toRevision(1), confirmedAtMs: 0 };

test("a daemon waits for its first confirmation and for news of a peer", async t => {
    const setup = createSetup(["e1", "e2"]);
    setup.setConfirmed(confirmed);
    await setup.scheduler.advance(1_000);
    t.is(setup.seen.ready, 0, "it would take itself for the owner of all targets");
    const peer = fixtures.createMember("e2", "a");
    setup.setMembers(new Map([setup.self, peer].map(member => [member.info.vm, member])));
    t.is(setup.seen.ready, 1);
});

test("a daemon that is alone on the list does not wait, and one whose peers are all down waits once", async t => {
    const alone = createSetup(["e1"]);
    alone.setConfirmed(confirmed);
    await alone.scheduler.advance(1);
    t.is(alone.seen.ready, 1);
    const orphan = createSetup(["e1", "e2"]);
    orphan.setConfirmed(confirmed);
    await orphan.scheduler.advance(5_000);
    t.is(orphan.seen.ready, 1);
});
