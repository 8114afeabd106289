import test from "ava";
import * as ids from "../../common/ids.js";
import * as platform from "../platform/Types.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as leavingVmWatchers from "./leavingVmWatcher.js";

const createVm = (vm: string, role: "entry" | "target", state: "live" | "leaving"): platform.ListedVm => ({
    vm: ids.toVmId(vm),
    role,
    state,
    zone: ids.toZoneName("a"),
});

test("leaving target VMs are reported within one interval, and the last ones are kept during an outage of the list", async t => {
    const fakePlatform = memoryPlatform.createMemoryPlatform();
    const scheduler = virtualScheduler.createVirtualScheduler();
    const list = { isDown: false };
    let reported: readonly string[] = [];
    const lifetime = leavingVmWatchers.createLeavingVmWatcher({
        vmList: {
            list: filter =>
                list.isDown ? Promise.resolve({ kind: "unavailable", cause: "outage" }) : fakePlatform.vms.list(filter),
        },
        scheduler,
        logger: silentLogger.createSilentLogger(),
        setLeavingVms: vms => (reported = [...vms]),
    });
    fakePlatform.setVms([createVm("t1", "target", "live"), createVm("e1", "entry", "leaving")]);
    await scheduler.advance(2_000);
    t.deepEqual(reported, []);
    fakePlatform.setVms([createVm("t1", "target", "leaving"), createVm("t2", "target", "live")]);
    await scheduler.advance(2_000);
    t.deepEqual(reported, ["t1"]);
    list.isDown = true;
    await scheduler.advance(10_000);
    t.deepEqual(reported, ["t1"]);
    list.isDown = false;
    fakePlatform.setVms([]);
    await scheduler.advance(2_000);
    t.deepEqual(reported, []);
    lifetime.dispose();
    fakePlatform.setVms([createVm("t1", "target", "leaving")]);
    await scheduler.advance(10_000);
    t.deepEqual(reported, []);
});
