import test from "ava";
import * as ids from "../ids.js";
import * as quotaShare from "./quotaShare.js";

const [first, second, third] = ["a", "b", "c"].map(ids.toVmId);
const toView = (connected: readonly (typeof first)[], view: Partial<quotaShare.ShareView> = {}) => ({
    connected: connected.flatMap(vm => (vm === undefined ? [] : [vm])),
    reported: [],
    unreachedSeeds: 0,
    isStoreFresh: true,
    isFirstStart: false,
    ...view,
});

// Guards against a ledger that takes the VMs of the other side of a partition for dead.
test("a VM that was lost counts for 30 s, and for longer while the store is out of reach", t => {
    let nowMs = 0;
    const known = quotaShare.createKnownVms({ now: () => nowMs });
    t.is(known.updateShare(toView([first, second, third])), 1);
    nowMs = 29_000;
    t.is(known.updateShare(toView([first, second])), 2 / 3);
    nowMs = 40_000;
    t.is(known.updateShare(toView([first, second], { isStoreFresh: false })), 2 / 3);
    t.is(known.updateShare(toView([first, second])), 1);
    const reported = third === undefined ? [] : [third];
    t.is(known.updateShare(toView([first, second], { reported })), 1, "reports of it do not end");
    t.is(known.updateShare(toView([first, second], { unreachedSeeds: 2 })), 1 / 2);
});

test("a share that rises takes effect late, one that falls at once", t => {
    let history = quotaShare.createShareHistory(0);
    history = quotaShare.addShare(history, 1, 0, 10);
    t.is(quotaShare.computeDelayedShare(history, 2, 1), 0);
    t.is(quotaShare.computeDelayedShare(history, 2, 2), 1);
    history = quotaShare.addShare(history, 0.5, 3, 10);
    t.is(quotaShare.computeDelayedShare(history, 2, 3), 0.5);
    history = quotaShare.addShare(history, 1, 4, 10);
    t.is(quotaShare.computeDelayedShare(history, 2, 5), 0.5);
    t.is(quotaShare.computeDelayedShare(history, 2, 6), 1);
});

// Guards against a hub that restarts among VMs which another hub may still count.
test("only VMs that have started together make a first start", t => {
    const own = { startedAtMs: 100_000 };
    const others = [own, { startedAtMs: 101_000 }, { startedAtMs: 99_500 }];
    t.true(quotaShare.isFirstStart(own, others, 1_000));
    t.false(quotaShare.isFirstStart(own, others, 6_000));
    t.false(quotaShare.isFirstStart(own, others.slice(0, 2), 1_000));
    t.false(quotaShare.isFirstStart(own, [...others, { startedAtMs: 50_000 }], 1_000));
});
