import test from "ava";
import * as configFiles from "../../common/config/configFiles.js";
import * as sections from "../../common/config/sections.js";
import * as config from "../../common/config/Types.js";
import * as ids from "../../common/ids.js";
import * as random from "../../common/random.js";
import * as types from "../../common/Types.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as fakes from "./fakeEntryVms.js";
import * as headStore from "./headStore.js";
import * as publisher from "./publisher.js";
import * as publish from "./Types.js";

const seedCount = 300;
const publisherCount = 6;

const toFilesChange = (files: Record<string, string>): publish.Change => {
    const parsed = configFiles.parseConfigFiles(Object.entries(files).map(([path, text]) => ({ path, text })));
    if (parsed.kind === "invalid") {
        throw new Error(JSON.stringify(parsed.faults));
    }
    return { kind: "publishFiles", ...parsed.files, base: undefined };
};

const toServiceText = (name: string, port: number, deadlineMs: number): string =>
    `service: ${name}\ndeadlineMs: ${deadlineMs}\ntargets:\n  - { id: ${name}, address: "127.0.0.1:${port}", zone: a }\n`;

const createChange = (source: types.Random, index: number): publish.Change => {
    switch (source.nextInt(4)) {
        case 0:
            return { kind: "setZoneOut", zone: ids.toZoneName("b"), out: true };
        case 1:
            return { kind: "setVmOut", vm: ids.toVmId("entry-0"), out: true };
        case 2:
            return toFilesChange({ "s.yaml": toServiceText("s", 1, index + 1) });
        default:
            return toFilesChange({ "p.yaml": toServiceText("p", 2, index + 1) });
    }
};

/** Runs concurrent publishers with lost responses, lost requests and an outage; returns the results and all heads. */
const runPublishers = async (seed: number) => {
    const source = random.createRandom(seed);
    const platform = memoryPlatform.createMemoryPlatform();
    const scheduler = virtualScheduler.createVirtualScheduler();
    const vms = [fakes.createFakeEntryVm(0, "adopting")];
    platform.setVms(vms.map(vm => vm.listed));
    const results = new Map<string, publish.PublishResult>();
    const start = (author: string, change: publish.Change): void => {
        let tokens = 0;
        const options = { platform, scheduler, author, logger: silentLogger.createSilentLogger() };
        const createToken = () => `${author}-${tokens++}`;
        const rpc = fakes.createFakeRpc(vms);
        const changes = publisher.createPublisher({ ...options, createToken, rpc });
        void changes.publish(change).then(result => results.set(author, result));
    };
    const topology = "zones: { a: north, b: north }\n";
    start("first", toFilesChange({ "topology.yaml": topology, "s.yaml": toServiceText("s", 1, 999) }));
    await scheduler.advance(1000);
    for (let index = 0; index < publisherCount; index++) {
        const change = createChange(source, index);
        scheduler.schedule(source.nextInt(3) * 200, () => start(`author-${index}`, change));
        const fault = (["loseAnswer", "loseRequest"] as const)[source.nextInt(4)];
        platform.addTransactFaults(...(fault === undefined ? [] : [fault]));
    }
    const outageAtMs = source.nextInt(800);
    scheduler.schedule(outageAtMs, () => platform.setTableDown(true));
    scheduler.schedule(outageAtMs + source.nextInt(2) * 12_000, () => platform.setTableDown(false));
    for (let step = 0; step < 60 && results.size <= publisherCount; step++) {
        await scheduler.advance(1000);
    }
    platform.setTableDown(false);
    const heads: config.ConfigHead[] = [];
    for (let revision = 1; ; revision++) {
        const read = await headStore.readRevision(platform.table, ids.toRevision(revision));
        if (read.kind !== "read") {
            break;
        }
        heads.push(read.head);
    }
    const row = await platform.table.read("config/head");
    return { results, heads, head: row.kind === "found" ? sections.parseHead(row.row.value) : undefined };
};

const listAllowedCommits = (result: publish.PublishResult): number[] => {
    switch (result.kind) {
        case "accepted":
        case "notAccepted":
            return [result.changed.length === 0 ? 0 : 1];
        case "refused":
        case "conflict":
            return [0];
        case "unknown":
            return [0, 1];
    }
};

test("under races, lost responses and outages the number of commits of each change matches its result", async t => {
    const kinds = new Set<string>();
    for (let seed = 1; seed <= seedCount; seed++) {
        const { results, heads, head } = await runPublishers(seed);
        t.is(results.size, publisherCount + 1, `seed ${seed}: a publisher did not end`);
        t.deepEqual(heads.at(-1), head, `seed ${seed}: the head is not the last revision`);
        for (const [author, result] of results) {
            kinds.add(result.kind);
            const commits = heads.filter(item => item.author === author);
            t.true(listAllowedCommits(result).includes(commits.length), `seed ${seed}: ${author} ${result.kind}`);
        }
        for (const [index, item] of heads.entries()) {
            const previous = heads[index - 1];
            const changed = previous === undefined ? [] : headStore.listChangedSections(previous, item);
            t.true(changed.length <= 1, `seed ${seed}: revision ${item.revision} undoes another change`);
        }
    }
    t.deepEqual([...kinds].sort(), ["accepted", "conflict", "refused", "unknown"]);
});
