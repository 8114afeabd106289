import test from "ava";
import * as blackboards from "../../common/blackboard/blackboard.js";
import * as fixtures from "../../common/routing/fixture.js";
import * as ids from "../../common/ids.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as readinessGate from "./readinessGate.js";

const createSetup = (listedVms: readonly string[]) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const self = fixtures.createMember("e1", "a");
    const board = blackboards.createBlackboard(self.info);
    const memory = memoryPlatform.createMemoryPlatform();
    memory.setVms(
        listedVms.map(vm => ({ vm: ids.toVmId(vm), role: "entry", state: "live", zone: ids.toZoneName("a") }) as const),
    );
    const counts = { ready: 0 };
    const onReady = (): void => void counts.ready++;
    readinessGate.createReadinessGate({ board, vmList: memory.vms, scheduler, memberTimeoutMs: 5_000, onReady });
    const setFreshness = board.freshness.takeWriter("test");
    const setMembers = board.members.takeWriter("test");
    return { scheduler, self, counts, setFreshness, setMembers };
};

const confirmed = { revision: ids.toRevision(1), confirmedAtMs: 0 };

test("a daemon waits for its first confirmed configuration and for information about a peer", async t => {
    const setup = createSetup(["e1", "e2"]);
    setup.setFreshness(confirmed);
    await setup.scheduler.advance(1_000);
    t.is(setup.counts.ready, 0, "without peers it would consider itself the owner of all targets");
    const peer = fixtures.createMember("e2", "a");
    setup.setMembers(new Map([setup.self, peer].map(member => [member.info.vm, member])));
    t.is(setup.counts.ready, 1);
});

test("the only listed entry VM does not wait, and one whose peers are all down starts after the timeout", async t => {
    const alone = createSetup(["e1"]);
    alone.setFreshness(confirmed);
    await alone.scheduler.advance(1);
    t.is(alone.counts.ready, 1);
    const isolated = createSetup(["e1", "e2"]);
    isolated.setFreshness(confirmed);
    await isolated.scheduler.advance(5_000);
    t.is(isolated.counts.ready, 1);
});
