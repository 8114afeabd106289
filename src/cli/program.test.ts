import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import test from "ava";
import * as ids from "../common/ids.js";
import * as peers from "../node/peers/Types.js";
import * as fakes from "../node/publish/fakeEntryVms.js";
import * as settings from "../node/settings/Types.js";
import * as memoryPlatform from "../testing/memoryPlatform.js";
import * as virtualScheduler from "../testing/virtualScheduler.js";
import * as program from "./program.js";
import * as sourceFiles from "./sourceFiles.js";

const createFiles = (deadlineMs = 1000): Record<string, string> => ({
    "topology.yaml": "zones: { a: north, b: north }\n",
    "s.yaml": `service: s\ndeadlineMs: ${deadlineMs}\ntargets:\n  - { id: s-1, address: "127.0.0.1:1", zone: a }\n`,
    "compose.yaml": "services: {}\n",
});

// A generator because a stream needs event loop turns, which do not happen while these tests advance virtual time.
const generateLines = async function* (text: string): AsyncGenerator<string> {
    await Promise.resolve();
    yield* text.split("\n");
};

const createFixture = (...modes: fakes.FakeMode[]) => {
    const platform = memoryPlatform.createMemoryPlatform();
    const scheduler = virtualScheduler.createVirtualScheduler();
    const vms = modes.map((mode, index) => fakes.createFakeEntryVm(index, mode));
    const started: settings.EntrySettings[] = [];
    const urls: string[] = [];
    platform.setVms(vms.map(vm => vm.listed));
    let tokens = 0;
    const run = async (
        args: string,
        files = createFiles(),
        env: Record<string, string> = {},
        logs: Record<string, string> = {},
    ) => {
        let out = "";
        let error = "";
        let exitCode: number | undefined;
        void program
            .runCommandLine(args.split(" "), {
                env,
                userName: "tester",
                version: "1.2.3",
                scheduler,
                createPlatform: url => {
                    urls.push(url);
                    return platform;
                },
                createRpc: () => fakes.createFakeRpc(vms),
                createToken: () => String(tokens++),
                runEntry: value => {
                    started.push(value);
                    return Promise.resolve();
                },
                readFiles: () => {
                    const read = Object.entries(files).map(([name, text]) => ({ path: name, text }));
                    return Promise.resolve({ kind: "read", files: read });
                },
                readLogLines: name => generateLines(logs[name] ?? ""),
                writeOut: text => (out += text),
                writeError: text => (error += text),
            })
            .then(code => (exitCode = code));
        // Bounded because no command in these tests waits longer than 60 s.
        for (let step = 0; step < 600 && exitCode === undefined; step++) {
            await scheduler.advance(100);
        }
        return { out, error, exitCode };
    };
    return { platform, vms, started, urls, run };
};

test("publish, zone, vm and remove exit with 0 once the change is in force, and print JSON with --json", async t => {
    const { run, urls } = createFixture("adopting", "adopting");
    const published = await run("publish . --platform http://10.0.0.1:7000");
    t.is(published.exitCode, 0, published.error);
    t.regex(published.out, /^Changed: service\/s, topology\. Revision 1 is in force; 2 of 2 entry VMs have it\.$/m);
    t.regex(published.error, /skipped compose\.yaml/);
    t.deepEqual(urls, ["http://10.0.0.1:7000"]);
    t.regex((await run("publish .")).out, /^Nothing to change\. Revision 1 is in force/);
    const zone = await run("zone out b --json --author ann");
    t.like(JSON.parse(zone.out), { kind: "accepted", revision: 2, changed: ["topology"], exitCode: 0 });
    t.is((await run("zone in b")).exitCode, 0);
    t.is((await run("vm out 127.0.0.1")).exitCode, 0);
    t.is((await run("vm in 127.0.0.1")).exitCode, 0);
    t.regex((await run("remove s")).out, /^Changed: service\/s\. Revision 6/);
});

test("each result of a change has its documented exit code", async t => {
    const fixture = createFixture("adopting");
    t.is((await fixture.run("publish .")).exitCode, 0);
    const refused = await fixture.run("zone out nowhere");
    t.is(refused.exitCode, 2);
    t.regex(refused.error, /zone nowhere: does not exist; the topology has a, b/);
    t.is((await fixture.run("publish .", { "s.yaml": "service: s\n" })).exitCode, 2);
    t.is((await fixture.run("publish .", {})).exitCode, 2);

    await fixture.run("publish .", createFiles(5));
    const conflict = await fixture.run("publish . --base 1", createFiles(6));
    t.is(conflict.exitCode, 3);
    t.regex(conflict.error, /Revision 2 is by tester\. Changed by others: service\/s\./);

    for (const vm of fixture.vms) {
        vm.mode = "silent";
    }
    const waiting = await fixture.run("zone out b --wait-ms 1000");
    t.is(waiting.exitCode, 4);
    t.regex(waiting.error, /Revision 3 is committed.*0 of 1 entry VMs have it; no response or behind: entry-0/);

    const { table } = fixture.platform;
    const transact: typeof table.transact = async (conditions, writes) => {
        const result = await table.transact(conditions, writes);
        fixture.platform.setTableDown(true);
        return result;
    };
    Object.assign(fixture.platform, { table: { ...table, transact } });
    fixture.platform.addTransactFaults("loseAnswer");
    const unknown = await fixture.run("zone in b");
    t.is(unknown.exitCode, 5);
    t.regex(unknown.error, /commit of revision 4 may have taken effect .*Run the same command again/);
    t.is((await fixture.run("zone in b")).exitCode, 2);
});

test("usage errors exit with 1, help and version with 0", async t => {
    const { run } = createFixture();
    for (const args of ["nonsense", "publish", "zone", "zone out", "zone out UPPER", "status --platform x"]) {
        t.is((await run(args)).exitCode, 1, args);
    }
    t.regex((await run("publish . --base x")).error, /'--base <revision>'.*'x'.*Allowed is a whole number/);
    const wrongUrl = await run("status", {}, { TARRAGONPATH_PLATFORM: "x" });
    t.is(wrongUrl.exitCode, 1);
    t.regex(wrongUrl.error, /TARRAGONPATH_PLATFORM: "x" is not allowed/);
    t.is((await run("--version")).exitCode, 0);
    t.regex((await run("entry --help")).out, /--head-poll-ms <ms>/);
});

test("entry validates its settings before it starts the daemon", async t => {
    const { run, started } = createFixture();
    const wrong = await run("entry --zone a --head-poll-ms 0", {}, { TARRAGONPATH_VM: "A" });
    t.is(wrong.exitCode, 1);
    t.regex(wrong.error, /--head-poll-ms: "0" is not allowed/);
    t.regex(wrong.error, /TARRAGONPATH_VM: "A"/);
    t.is(started.length, 0);
    t.is((await run("entry --listen 127.0.0.2:80", {}, { TARRAGONPATH_ZONE: "b" })).exitCode, 0);
    t.like(started[0], { zone: "b", vm: "127.0.0.2-80", headPollMs: 1000 });
});

test("status shows which entry VMs are behind, not fresh, unreachable or replaced by another VM", async t => {
    const fixture = createFixture("adopting", "adopting", "adopting");
    await fixture.run("publish .");
    t.is((await fixture.run("status")).exitCode, 0);
    const [behind, silent] = fixture.vms;
    if (behind !== undefined && silent !== undefined) {
        behind.revision = ids.toRevision(0);
        silent.mode = "silent";
    }
    const status = await fixture.run("status");
    t.is(status.exitCode, 6);
    t.regex(status.out, /^Newest revision: 1, by tester\. 1 of 3 entry VMs have it, not a majority\.$/m);
    t.regex(status.out, /^entry-0 +a +live +0 +0\.1 s +behind$/m);
    t.regex(status.out, /^entry-1 +a +live +- +- +unreachable: timeout$/m);
    if (behind !== undefined && silent !== undefined) {
        behind.revision = ids.toRevision(1);
        behind.mode = "nonAdopting";
        silent.mode = "wrongName";
    }
    fixture.platform.setTableDown(true);
    const json = JSON.parse((await fixture.run("status --json")).out) as { entryVms: { condition: string }[] };
    t.deepEqual(
        json.entryVms.map(row => row.condition),
        ["not fresh", "other VM", "current"],
    );
    t.like(json, { newestRevision: 1, isAccepted: true });
});

test("targets prefers the owner's report and lists the VMs that did not respond", async t => {
    const { vms, run } = createFixture("adopting", "adopting", "silent");
    const create = (target: string, owner: string, inFlight: number): peers.TargetStatus => ({
        target: ids.toTargetId(target),
        service: ids.toServiceName(target.slice(0, 1)),
        zone: ids.toZoneName("a"),
        owner: ids.toVmId(owner),
        state: "warm",
        limit: 4,
        inFlight,
        latencyMs: 2.5,
        reportAgeMs: undefined,
    });
    vms.forEach(vm => (vm.targets = [create("s-1", "entry-1", vm.listed.vm === ids.toVmId("entry-1") ? 3 : 0)]));
    vms.slice(0, 1).forEach(vm => (vm.targets = [...vm.targets, create("p-1", "entry-2", 1)]));
    const { out, error, exitCode } = await run("targets");
    t.is(exitCode, 6);
    t.regex(out, /^s +a +s-1 +warm +4 +3 +2\.5 ms +- +entry-1$/m);
    t.regex(out, /^p +a +p-1 +warm +4 +1 +2\.5 ms +- +entry-2 \(as known to entry-0\)$/m);
    t.regex(error, /entry-2 did not respond: timeout/);
    const json = JSON.parse((await run("targets --json --service s")).out) as { targets: unknown[] };
    t.is(json.targets.length, 1);
});

test("explain prints the history of a call from all entry VMs", async t => {
    const { vms, run } = createFixture("adopting", "adopting");
    const call = ids.toCallId("c1");
    for (const vm of vms) {
        const received = { atMs: vm.listed.vm.length, text: "received" };
        const sent = { atMs: received.atMs + 2.5, text: "sent to s-1" };
        vm.traces = [{ call, vm: vm.listed.vm, steps: [received, sent] }];
    }
    const { out, exitCode } = await run("explain c1");
    t.is(exitCode, 0);
    t.regex(out, /entry-0:\n +0\.0 ms {2}received\n +2\.5 ms {2}sent to s-1\nentry-1:/);
    t.is((await run("explain other")).exitCode, 6);
});

const formatLine = (vm: string, second: number, part: string, fields: Record<string, unknown>): string =>
    `   ${second}.1186 ${vm} ${JSON.stringify({ time: new Date(second * 1_000).toISOString(), part, level: "info", ...fields })}`;

test("explain prints a request's history from the logs of several VMs, including earlier events at its targets", async t => {
    const { run, urls } = createFixture("adopting");
    const log = [
        formatLine("vm-1", 1, "target", { message: "ejected after consecutive failures", target: "b" }),
        formatLine("vm-1", 8, "target", { message: "ejected after consecutive failures", target: "a" }),
        formatLine("vm-1", 9, "exchange", { message: "attempt ended", request: "other", target: "a" }),
        formatLine("vm-1", 9, "target", { message: "ejected after consecutive failures", target: "c" }),
        formatLine("vm-1", 10, "exchange", { message: "attempt ended", request: "r1", target: "a", end: "failed" }),
        "   12.0000 vm-1 (node) a line of another program {",
        formatLine("vm-1", 11, "exchange", { message: "request not served", request: "r1", reason: "deadline" }),
    ].join("\n");
    const logs = { one: log, two: formatLine("vm-2", 5, "exchange", { message: "attempt ended", request: "r1" }) };
    const { out, exitCode } = await run("explain r1 one two", {}, {}, logs);
    t.is(exitCode, 0);
    t.is(
        out,
        [
            "vm-1:",
            "    -2000 ms ~ target: ejected after consecutive failures target=a",
            "        0 ms   exchange: attempt ended target=a end=failed",
            "     1000 ms   exchange: request not served reason=deadline",
            "vm-2:",
            "        0 ms   exchange: attempt ended",
            "",
        ].join("\n"),
    );
    const json = JSON.parse((await run("explain r1 one --json", {}, {}, logs)).out) as { steps: unknown[] };
    t.is(json.steps.length, 3);
    t.like(await run("explain r2 one", {}, {}, logs), { exitCode: 6 });
    t.is(urls.length, 0);
});

test("check reports faults without the platform, and with --live compares with the configuration in force", async t => {
    const { run, urls, platform } = createFixture("adopting");
    t.like(await run("check ."), { exitCode: 0, out: "No faults in 1 service file, with the topology.\n" });
    t.is((await run("check .", { "s.yaml": "service: s\n" })).exitCode, 2);
    t.is(urls.length, 0);
    await run("publish .");
    t.regex(
        (await run("check . --live", createFiles(9))).out,
        /Against revision 1, publishing would change service\/s/,
    );
    const { "s.yaml": text = "" } = createFiles();
    const wrongZone = await run("check . --live --json", { "s.yaml": text.replace("zone: a", "zone: z") });
    t.is(wrongZone.exitCode, 2);
    t.like(JSON.parse(wrongZone.out), { faults: [{ where: "s.yaml: targets[0].zone" }] });
    platform.setTableDown(true);
    t.is((await run("check . --live")).exitCode, 1);
});

test("YAML files are found in subdirectories, except hidden directories and node_modules", async t => {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), "tarragonpath-"));
    t.teardown(() => fs.rm(directory, { recursive: true }));
    for (const name of ["a/s.yaml", "b.yml", ".git/c.yaml", "node_modules/d.yaml", "e.json"]) {
        await fs.mkdir(path.dirname(path.join(directory, name)), { recursive: true });
        await fs.writeFile(path.join(directory, name), name);
    }
    const result = await sourceFiles.readSourceFiles(directory);
    t.deepEqual(result, { kind: "read", files: ["a/s.yaml", "b.yml"].map(name => ({ path: name, text: name })) });
    t.is((await sourceFiles.readSourceFiles(path.join(directory, "none"))).kind, "failed");
});
