import * as crypto from "node:crypto";
import test from "ava";
import * as blackboards from "../../common/blackboard/blackboard.js";
import * as config from "../../common/config/Types.js";
import * as ids from "../../common/ids.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as peers from "../peers/Types.js";
import * as rpcServer from "../peers/rpcServer.js";
import * as platform from "../platform/Types.js";
import * as configurationController from "./configurationController.js";

const peer = ids.toAddress("127.0.0.1:9");

const computeDigest = (text: string) => ids.toDigest(crypto.createHash("sha256").update(text).digest("hex"));

const createHead = (revision: number, text: string): config.ConfigHead => ({
    revision: ids.toRevision(revision),
    sections: { topology: computeDigest(text) },
    author: "test",
    token: "t",
});

interface FixtureOptions {
    readonly get: platform.ObjectStore["get"];
    readonly call?: (params: unknown) => unknown;
}

const createFixture = (t: { teardown(action: () => void): void }, { get, call }: FixtureOptions) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const blackboard = blackboards.createBlackboard({
        vm: ids.toVmId("v"),
        incarnation: ids.toIncarnationId("v.1"),
        zone: ids.toZoneName("a"),
        address: peer,
        control: peer,
    });
    const server = rpcServer.createRpcServer(silentLogger.createSilentLogger());
    const adopted: string[] = [];
    const controller = configurationController.createConfigurationController({
        blackboard,
        table: memoryPlatform.createMemoryPlatform().table,
        objects: { get, put: () => Promise.resolve({ kind: "stored" }) },
        rpcClient: {
            call: (_control, _method, params) =>
                Promise.resolve(
                    call === undefined
                        ? { kind: "failed", cause: "no peer" }
                        : { kind: "answered", result: call(params) as never },
                ),
            close: () => Promise.resolve(),
        },
        rpcServer: server,
        scheduler,
        settings: { freshnessMs: 3000, headPollMs: 1000 },
        assembleConfiguration: (head, texts) => {
            adopted.push(`${head.revision} ${[...texts.values()].join()}`);
            return { kind: "valid", configuration: { revision: head.revision } as config.Configuration };
        },
        logger: silentLogger.createSilentLogger(),
    });
    t.teardown(() => controller.dispose());
    return { scheduler, blackboard, server, controller, adopted };
};

test("a head is fetched only once, and a newer head replaces a head that is being fetched", async t => {
    const reads: string[] = [];
    const resolveReads: ((text: string) => void)[] = [];
    const get: platform.ObjectStore["get"] = name => {
        reads.push(name);
        return new Promise(resolve => resolveReads.push(content => resolve({ kind: "found", content })));
    };
    const { scheduler, controller, adopted } = createFixture(t, { get });
    controller.observeHead(createHead(1, "one"), undefined);
    controller.observeHead(createHead(1, "one"), peer);
    await scheduler.advance(1);
    t.is(reads.length, 1);
    controller.observeHead(createHead(2, "two"), undefined);
    controller.observeHead(createHead(1, "one"), undefined);
    resolveReads[0]?.("one");
    await scheduler.advance(1);
    t.deepEqual(reads, [computeDigest("one"), computeDigest("two")]);
    resolveReads[1]?.("two");
    await scheduler.advance(1);
    t.deepEqual(adopted, ["2 two"]);
    t.is(controller.getHead()?.revision, ids.toRevision(2));
});

test("sections are fetched from a peer if the object store does not respond; a text with a wrong digest is rejected", async t => {
    const digest = computeDigest("one");
    let text = "forged";
    const { scheduler, controller, adopted } = createFixture(t, {
        get: () => new Promise(() => undefined),
        call: () => ({ sections: { [digest]: text } }),
    });
    controller.observeHead(createHead(1, "one"), peer);
    await scheduler.advance(2500);
    t.deepEqual(adopted, []);
    text = "one";
    controller.observeHead(createHead(1, "one"), peer);
    await scheduler.advance(2500);
    t.deepEqual(adopted, ["1 one"]);
});

test("an announced revision is adopted from the announcement, which does not confirm it", async t => {
    const { scheduler, server, blackboard } = createFixture(t, {
        get: () => Promise.resolve({ kind: "unavailable", cause: "outage" }),
    });
    const head = createHead(4, "four");
    const params: peers.RpcMethods["config.announce"]["params"] = {
        head,
        sections: { [computeDigest("four")]: "four" },
    };
    const request = { jsonrpc: "2.0", id: 1, method: "config.announce", params };
    const response = server.receive(JSON.stringify(request));
    await scheduler.advance(0);
    t.like(JSON.parse(await response), { result: { revision: 4, fresh: false } });
    t.deepEqual(blackboard.freshness.get(), { revision: ids.toRevision(4), confirmedAtMs: undefined });
    t.is(blackboard.configuration.get()?.revision, ids.toRevision(4));
});
