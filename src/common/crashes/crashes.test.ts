import test from "ava";
import * as ids from "../ids.js";
import * as crashRegistry from "./crashRegistry.js";
import * as fingerprint from "./fingerprint.js";

const createSetup = (maxEntries = 1_000) => {
    const time = { nowMs: 0 };
    const scheduler = { now: () => time.nowMs };
    return { time, ...crashRegistry.createCrashRegistry({ scheduler, limit: 2, maxEntries, retentionMs: 600_000 }) };
};

const first = ids.toTargetId("t1");
const second = ids.toTargetId("t2");

// Without this, two equal harmless requests in flight during one crash were blocked on all VMs for ten minutes.
test("broken connections to a target within a second are one crash; a success resets a count below the limit", t => {
    const setup = createSetup();
    t.is(setup.recordCrash("f", first), 1);
    t.is(setup.recordCrash("f", first), 1);
    setup.time.nowMs = 999;
    t.is(setup.recordCrash("f", first), 1);
    setup.recordSuccess("f");
    t.true(setup.isEmpty());
    setup.time.nowMs = 2_000;
    setup.recordCrash("f", first);
    setup.time.nowMs = 3_000;
    t.is(setup.recordCrash("f", first), 2, "a second crash of the same target");
    setup.recordSuccess("f");
    t.true(setup.isBlocked("f"), "a blocked request stays blocked until its entry expires");
});

test("a request is blocked after two crashes, regardless of which VM saw them", t => {
    const setup = createSetup();
    t.true(setup.isEmpty());
    t.is(setup.recordCrash("f", first), 1);
    t.false(setup.isBlocked("f"));
    setup.mergeCount("f", 1);
    t.false(setup.isBlocked("f"), "a peer's copy of the same count is not a second crash");
    t.is(setup.recordCrash("f", second), 2);
    t.true(setup.isBlocked("f"));
    setup.mergeCount("g", 2);
    t.true(setup.isBlocked("g"));
    t.deepEqual(setup.list(), [
        { fingerprint: "f", count: 2 },
        { fingerprint: "g", count: 2 },
    ]);
});

test("entries expire even if peers repeat them, and the oldest is dropped when the registry is full", t => {
    const setup = createSetup(2);
    setup.recordCrash("f", first);
    setup.time.nowMs = 599_999;
    setup.mergeCount("f", 1);
    t.false(setup.isEmpty());
    setup.time.nowMs = 600_000;
    t.true(setup.isEmpty());
    ["a", "b", "c"].forEach(name => setup.recordCrash(name, first));
    t.deepEqual(
        setup.list().map(entry => entry.fingerprint),
        ["b", "c"],
    );
});

test("the fingerprint depends on every part, but only on the first 64 KiB of the body", t => {
    const parts = {
        addressee: "s",
        method: "POST",
        path: "/a",
        query: "",
        bodyLength: 70_000,
        bodyStart: new Uint8Array(70_000),
    };
    const base = fingerprint.computeFingerprint(parts);
    const tail = new Uint8Array(70_000);
    tail[69_999] = 1;
    t.is(fingerprint.computeFingerprint({ ...parts, bodyStart: tail }), base);
    const head = new Uint8Array(70_000);
    head[0] = 1;
    const changes = [
        { bodyStart: head },
        { addressee: "t" },
        { method: "PUT" },
        { path: "/b" },
        { path: "/", query: "a" },
        { bodyLength: 1 },
    ];
    const others = changes.map(change => fingerprint.computeFingerprint({ ...parts, ...change }));
    t.is(new Set([base, ...others]).size, changes.length + 1);
});
