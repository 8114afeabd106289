import test from "ava";
import * as configFiles from "../../common/config/configFiles.js";
import * as sections from "../../common/config/sections.js";
import * as ids from "../../common/ids.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as platformTypes from "../platform/Types.js";
import * as exitCode from "./exitCode.js";
import * as fakes from "./fakeEntryVms.js";
import * as publisher from "./publisher.js";
import * as publish from "./Types.js";

type TransactParameters = Parameters<platformTypes.TableService["transact"]>;

const topologyText = "zones: { a: north, b: north }\n";
const toServiceText = (name: string, port: number, extra = ""): string =>
    `service: ${name}\n${extra}targets:\n  - { id: ${name}-1, address: "127.0.0.1:${port}", zone: a }\n`;

const toChange = (files: Record<string, string>, base?: number): publish.Change => {
    const parsed = configFiles.parseConfigFiles(Object.entries(files).map(([path, text]) => ({ path, text })));
    if (parsed.kind === "invalid") {
        throw new Error(JSON.stringify(parsed.faults));
    }
    const { services, topology } = parsed.files;
    return { kind: "publishFiles", services, topology, base: base === undefined ? undefined : ids.toRevision(base) };
};

const zoneOut: publish.Change = { kind: "setZoneOut", zone: ids.toZoneName("b"), out: true };
const initialFiles = {
    "topology.yaml": topologyText,
    "s.yaml": toServiceText("s", 1),
    "p.yaml": toServiceText("p", 2),
};
const toServiceChange = (deadlineMs: number) =>
    toChange({ "s.yaml": toServiceText("s", 1, `deadlineMs: ${deadlineMs}\n`) });
const otherServiceChange = toChange({ "p.yaml": toServiceText("p", 2, "deadlineMs: 7\n") });

const createFixture = (...modes: fakes.FakeMode[]) => {
    const platform = memoryPlatform.createMemoryPlatform();
    const scheduler = virtualScheduler.createVirtualScheduler();
    const vms = modes.map((mode, index) => fakes.createFakeEntryVm(index, mode));
    platform.setVms(vms.map(vm => vm.listed));
    let tokens = 0;
    const createPublisher = (author: string): publish.Publisher =>
        publisher.createPublisher({
            platform,
            rpc: fakes.createFakeRpc(vms),
            scheduler,
            createToken: () => `${author}-${tokens++}`,
            logger: silentLogger.createSilentLogger(),
            author,
        });
    const publishAs = async (author: string, change: publish.Change): Promise<publish.PublishResult> => {
        let result: publish.PublishResult | undefined;
        void createPublisher(author)
            .publish(change)
            .then(value => (result = value));
        // Advances at most 60 s, more than all timeouts of the publisher together.
        for (let step = 0; step < 600 && result === undefined; step++) {
            await scheduler.advance(100);
        }
        if (result === undefined) {
            throw new Error("the publisher did not end");
        }
        return result;
    };
    const readHead = async (key = "config/head") => {
        const result = await platform.table.read(key);
        return result.kind === "found" ? sections.parseHead(result.row.value) : undefined;
    };
    return { platform, scheduler, vms, createPublisher, publishAs, readHead };
};

const createPublishedFixture = async (...modes: fakes.FakeMode[]) => {
    const fixture = createFixture(...modes);
    const result = await fixture.publishAs("setup", toChange(initialFiles));
    return { ...fixture, result };
};

test("the first publication stores, commits and announces all sections", async t => {
    const { result, readHead, vms } = await createPublishedFixture("adopting", "adopting", "adopting");
    const changed = ["service/p", "service/s", "topology"].map(ids.toSectionName);
    t.like(result, { kind: "accepted", revision: ids.toRevision(1), changed, missing: [] });
    t.is(exitCode.toExitCode(result), 0);
    t.deepEqual(await readHead("config/revision/1"), await readHead());
    t.deepEqual(
        vms.map(vm => vm.announced.length),
        [3, 3, 3],
    );
});

test("a change without effect commits nothing but still waits until the revision is in force", async t => {
    const fixture = await createPublishedFixture("adopting");
    const { transactions } = fixture.platform.counts;
    const result = await fixture.publishAs("x", toChange(initialFiles));
    t.like(result, { kind: "accepted", revision: ids.toRevision(1), changed: [] });
    const removal: publish.Change = { kind: "removeService", service: ids.toServiceName("none") };
    t.like(await fixture.publishAs("x", removal), { kind: "accepted", changed: [] });
    t.is(fixture.platform.counts.transactions, transactions);
});

test("the loser of a race on one section gets a conflict that lists the winner's changes and overwrites nothing", async t => {
    for (const [winner, loser] of [
        [1, 2],
        [2, 1],
    ] as const) {
        const fixture = await createPublishedFixture("adopting");
        let winnerResult: publish.PublishResult | undefined;
        fixture.platform.setBeforeTransact(async () => {
            winnerResult = await fixture.createPublisher("winner").publish(toServiceChange(winner));
        });
        const result = await fixture.publishAs("loser", toServiceChange(loser));
        t.is(winnerResult?.kind, "accepted");
        const names = [ids.toSectionName("service/s")];
        t.like(result, { kind: "conflict", author: "winner", changedByOthers: names, overlapping: names });
        t.is(exitCode.toExitCode(result), 3);
        t.is((await fixture.readHead())?.revision, ids.toRevision(2));
    }
});

test("zone out and published files that race without overlapping are both accepted, in either order", async t => {
    for (const [winner, loser] of [
        [otherServiceChange, zoneOut],
        [zoneOut, otherServiceChange],
    ] as const) {
        const fixture = await createPublishedFixture("adopting");
        fixture.platform.setBeforeTransact(async () => {
            await fixture.createPublisher("winner").publish(winner);
        });
        const result = await fixture.publishAs("loser", loser);
        t.like(result, { kind: "accepted", revision: ids.toRevision(3) });
        t.is((result.kind === "accepted" ? result.changed : []).length, 1);
    }
});

test("zone out does not overwrite a different change of the topology, and an identical one is no conflict", async t => {
    const zoneIn: publish.Change = { kind: "setZoneOut", zone: ids.toZoneName("a"), out: true };
    for (const [winner, expected] of [
        [zoneIn, "conflict"],
        [zoneOut, "accepted"],
    ] as const) {
        const fixture = await createPublishedFixture("adopting");
        fixture.platform.setBeforeTransact(async () => {
            await fixture.createPublisher("winner").publish(winner);
        });
        t.is((await fixture.publishAs("loser", zoneOut)).kind, expected);
        t.is((await fixture.readHead())?.revision, ids.toRevision(2));
    }
});

test("files based on an old revision do not overwrite later changes of the same section", async t => {
    const fixture = await createPublishedFixture("adopting");
    await fixture.publishAs("other", toServiceChange(5));
    const stale = toChange({ "s.yaml": toServiceText("s", 1, "deadlineMs: 9\n") }, 1);
    t.like(await fixture.publishAs("me", stale), { kind: "conflict", revision: ids.toRevision(2) });
    const disjoint = toChange({ "p.yaml": toServiceText("p", 2, "deadlineMs: 9\n") }, 1);
    t.like(await fixture.publishAs("me", disjoint), { kind: "accepted", revision: ids.toRevision(3) });
    t.like(await fixture.publishAs("me", toChange(initialFiles, 99)), { kind: "refused", cause: "invalid" });
});

test("a commit whose response was lost is recognised by its token and not repeated", async t => {
    const fixture = await createPublishedFixture("adopting");
    const { transactions } = fixture.platform.counts;
    fixture.platform.addTransactFaults("loseAnswer");
    t.like(await fixture.publishAs("x", toServiceChange(5)), { kind: "accepted", revision: ids.toRevision(2) });
    t.is(fixture.platform.counts.transactions, transactions + 1);
});

test("a transaction that was lost before the commit is sent again after a read has shown that it is absent", async t => {
    const fixture = await createPublishedFixture("adopting");
    fixture.platform.addTransactFaults("loseRequest");
    t.like(await fixture.publishAs("x", toServiceChange(5)), { kind: "accepted", revision: ids.toRevision(2) });
});

test("a lost transaction that takes effect late is recognised when its retry conflicts", async t => {
    const fixture = await createPublishedFixture("adopting");
    fixture.platform.addTransactFaults("loseRequest");
    const { table } = fixture.platform;
    const sent: TransactParameters[] = [];
    const transact = async (...parameters: TransactParameters) => {
        const [earlier] = sent;
        sent.push(parameters);
        if (earlier !== undefined) {
            await table.transact(...earlier);
        }
        return table.transact(...parameters);
    };
    Object.assign(fixture.platform, { table: { ...table, transact } });
    const result = await fixture.publishAs("x", toServiceChange(5));
    const changed = [ids.toSectionName("service/s")];
    t.like(result, { kind: "accepted", revision: ids.toRevision(2), changed });
    t.is(sent.length, 2);
});

test("a lost response after another publisher's commit is a conflict, not a success", async t => {
    const fixture = await createPublishedFixture("adopting");
    fixture.platform.setBeforeTransact(async () => {
        await fixture.createPublisher("winner").publish(toServiceChange(8));
        fixture.platform.addTransactFaults("loseAnswer");
    });
    t.like(await fixture.publishAs("loser", toServiceChange(5)), { kind: "conflict", author: "winner" });
});

test("an outage before the commit refuses the change, an outage after a lost response leaves the outcome unknown", async t => {
    const fixture = await createPublishedFixture("adopting");
    fixture.platform.setTableDown(true);
    const refused = await fixture.publishAs("x", toServiceChange(5));
    t.like(refused, { kind: "refused", cause: "unavailable" });
    t.is(exitCode.toExitCode(refused), 2);
    fixture.platform.setTableDown(false);
    fixture.platform.setBeforeTransact(() => Promise.resolve(fixture.platform.setTableDown(true)));
    t.like(await fixture.publishAs("x", toServiceChange(5)), { kind: "refused", cause: "unavailable" });
    fixture.platform.setTableDown(false);

    const { table } = fixture.platform;
    const transact = async (...parameters: TransactParameters) => {
        const result = await table.transact(...parameters);
        fixture.platform.setTableDown(true);
        return result;
    };
    Object.assign(fixture.platform, { table: { ...table, transact } });
    fixture.platform.addTransactFaults("loseAnswer");
    const unknown = await fixture.publishAs("x", toServiceChange(6));
    t.like(unknown, { kind: "unknown", revision: ids.toRevision(2) });
    t.is(exitCode.toExitCode(unknown), 5);
    fixture.platform.setTableDown(false);
    t.like(await fixture.publishAs("x", toServiceChange(6)), {
        kind: "accepted",
        changed: [],
        revision: ids.toRevision(2),
    });
});

test("an outage of the object store commits nothing", async t => {
    const fixture = await createPublishedFixture("adopting");
    fixture.platform.setObjectsDown(true);
    t.like(await fixture.publishAs("x", toServiceChange(5)), { kind: "refused", cause: "unavailable" });
    t.is((await fixture.readHead())?.revision, ids.toRevision(1));
});

test("acceptance needs responses from a majority of the listed VMs under their listed names", async t => {
    for (const modes of [
        ["adopting", "nonAdopting", "silent"],
        ["adopting", "wrongName"],
        ["nonAdopting"],
        ["restarting"],
        [],
    ] as const) {
        const { result, readHead } = await createPublishedFixture(...modes);
        t.is(result.kind, "notAccepted", modes.join());
        t.is(exitCode.toExitCode(result), 4);
        t.is((await readHead())?.revision, ids.toRevision(1));
    }
    const { result, scheduler } = await createPublishedFixture("adopting", "adopting", "silent");
    t.like(result, { kind: "accepted", missing: [ids.toVmId("entry-2")] });
    // A VM that restarts after its report loses the revision, so its report must not count towards a majority.
    const restarting = await createPublishedFixture("adopting", "adopting", "restarting", "silent", "silent");
    t.is(restarting.result.kind, "notAccepted");
    t.true(scheduler.now() >= publisher.defaultTimes.acceptTimeoutMs);
});

test("while the platform's list is unavailable a commit is not accepted, and zone out is still committed", async t => {
    const fixture = await createPublishedFixture("adopting");
    const vms = { list: () => Promise.resolve({ kind: "unavailable", cause: "outage" }) };
    Object.assign(fixture.platform, { vms });
    t.like(await fixture.publishAs("x", zoneOut), { kind: "notAccepted", revision: ids.toRevision(2) });
    const vmOut: publish.Change = { kind: "setVmOut", vm: ids.toVmId("entry-0"), out: true };
    t.like(await fixture.publishAs("x", vmOut), { kind: "notAccepted", revision: ids.toRevision(3) });
});

test("VMs that recover while the publisher waits receive the announcement", async t => {
    const fixture = createFixture("adopting", "silent", "silent");
    fixture.scheduler.schedule(2000, () => fixture.vms.forEach(vm => (vm.mode = "adopting")));
    t.like(await fixture.publishAs("x", toChange(initialFiles)), { kind: "accepted", missing: [] });
    t.true(fixture.scheduler.now() < publisher.defaultTimes.acceptTimeoutMs);
});

test("changes that make the whole configuration invalid are refused, with the operator's file in the fault", async t => {
    const fixture = await createPublishedFixture("adopting");
    const check = async (change: publish.Change, pattern: RegExp): Promise<void> => {
        const result = await fixture.publishAs("x", change);
        t.is(exitCode.toExitCode(result), 2);
        t.regex(JSON.stringify(result), pattern);
    };
    await check(toChange({ "q.yaml": toServiceText("q", 1) }), /q\.yaml: targets\[0\]\.address/);
    await check(toChange({ "topology.yaml": "zones: { b: north }\n" }), /service\/s: targets\[0\]\.zone/);
    await check({ kind: "setZoneOut", zone: ids.toZoneName("x"), out: true }, /zone x.*does not exist/);
    await check({ kind: "setVmOut", vm: ids.toVmId("x"), out: true }, /vm x.*platform's list/);
    t.is((await fixture.readHead())?.revision, ids.toRevision(1));
});

test("publishing the files again keeps zones and VMs out of service", async t => {
    const fixture = await createPublishedFixture("adopting");
    await fixture.publishAs("x", zoneOut);
    t.like(await fixture.publishAs("x", { kind: "setVmOut", vm: ids.toVmId("127.0.0.1"), out: true }), {
        kind: "accepted",
    });
    t.like(await fixture.publishAs("x", { kind: "setVmOut", vm: ids.toVmId("entry-0"), out: true }), {
        kind: "accepted",
    });
    t.like(await fixture.publishAs("x", toChange(initialFiles)), {
        kind: "accepted",
        changed: [],
        revision: ids.toRevision(4),
    });
    const removal: publish.Change = { kind: "removeService", service: ids.toServiceName("p") };
    t.like(await fixture.publishAs("x", removal), { kind: "accepted", changed: [ids.toSectionName("service/p")] });
});
