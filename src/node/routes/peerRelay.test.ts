import test from "ava";
import * as ids from "../../common/ids.js";
import * as random from "../../common/random.js";
import * as routes from "../../common/routes/Types.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as metrics from "./metrics.js";
import * as peerRelay from "./peerRelay.js";
import * as targetConnection from "./targetConnection.js";
import * as targetSender from "./targetSender.js";

const response: targetConnection.TargetResponse = {
    statusCode: 503,
    head: fixture.testDialect.parseResponseHead(503, []),
    body: { kind: "whole", bytes: Buffer.alloc(0) },
    isDelimited: true,
    received: Promise.resolve(),
    connection: fixture.firstConnection,
};

const brokenResult = { kind: "broken", reason: "ECONNRESET", connection: fixture.firstConnection } as const;

/** Runs one request; each VM to which it is offered takes the next step as its result. */
const run = async (
    peers: readonly routes.Peer[],
    steps: readonly (targetSender.AttemptResult | undefined)[],
    mayHaveRun = false,
    activeVms = peers,
    route: Partial<routes.Route> = {},
) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const offered: string[] = [];
    const outcomes: metrics.RelayOutcome[] = [];
    const remainingSteps = [...steps];
    const relay = peerRelay.createPeerRelay({
        scheduler,
        logger: silentLogger.createSilentLogger(),
        random: random.createRandom(3),
        zone: fixture.zone,
        metrics: { recordRelay: outcome => void outcomes.push(outcome) },
        sender: {
            startRelayed: ({ address }) => {
                offered.push(address);
                const step = remainingSteps.shift();
                let resolveResult: (result: targetSender.AttemptResult) => void = () => undefined;
                const result = new Promise<targetSender.AttemptResult>(resolve => (resolveResult = resolve));
                if (step !== undefined) {
                    resolveResult(step);
                }
                return {
                    result,
                    abort: () => resolveResult({ ...brokenResult, reason: "closed here" }),
                    abortIfUnsent: () => undefined,
                    isSent: () => true,
                };
            },
        },
        listPeers: () => peers,
        listActiveVms: () => activeVms,
    });
    let end: peerRelay.RelayEnd | undefined | "pending" = "pending";
    void relay
        .run(
            {
                outgoing: { id: "r1", method: "GET", url: "/jobs/1", headers: [], body: Buffer.alloc(0) },
                route: fixture.createRoute(route),
                service: fixture.service,
                deadlineAtMs: 1_000,
                fingerprint: "f",
                configurationVersion: 1,
                signal: new AbortController().signal,
            },
            { maxTargets: 2, mayHaveRun },
        )
        .then(relayEnd => (end = relayEnd));
    await scheduler.advance(0);
    return { scheduler, offered, outcomes, getEnd: () => end };
};

const near = fixture.createPeer("near");
const far = fixture.createPeer("far", { zone: fixture.otherZone });
const unreachable: targetSender.AttemptResult = { kind: "unreachable" };

test("a request is passed on to a VM of the same zone, and its response is passed back", async t => {
    const { offered, getEnd } = await run([far, near], [{ kind: "response", response }]);
    t.deepEqual(offered, [near.frontAddress]);
    t.deepEqual(getEnd(), { kind: "relayed", response });
});

test("the next VM is tried only if nothing was sent to the first one", async t => {
    const second = await run([far, near], [unreachable, { kind: "response", response }]);
    t.deepEqual(second.offered, [near.frontAddress, far.frontAddress]);
    t.deepEqual(second.getEnd(), { kind: "relayed", response });
    t.deepEqual(second.outcomes, ["not taken", "relayed"]);
    const broken = await run([far, near], [brokenResult]);
    t.deepEqual(broken.offered, [near.frontAddress]);
    t.deepEqual(broken.getEnd(), { kind: "failed", reason: "ECONNRESET", statusCode: 502 });
});

test("active VMs are tried first, also far ones, then those on standby", async t => {
    const standby = fixture.createPeer("standby", { frontAddress: ids.toAddress("127.0.0.1:9") });
    const { offered } = await run([standby, far], [unreachable, { kind: "response", response }], false, [far]);
    t.deepEqual(offered, [far.frontAddress, standby.frontAddress]);
});

test("a request that no VM takes has not run", async t => {
    t.is((await run([], [])).getEnd(), undefined);
    t.is((await run([far, near], [unreachable, unreachable])).getEnd(), undefined);
});

test("a request that the other VM does not respond to fails soon after its deadline", async t => {
    const { scheduler, getEnd } = await run([near], [undefined]);
    await scheduler.advance(1_000);
    t.is(getEnd(), "pending");
    await scheduler.advance(100);
    t.like(getEnd(), { kind: "failed", statusCode: 504 });
});

// Guards against requests that are refused as not run by a VM that does not know of earlier attempts.
test("the other VM's refusal does not tell that a request has not run if it may have run before", async t => {
    const { getEnd } = await run([near], [{ kind: "response", response }], true);
    t.like(getEnd(), { kind: "failed", statusCode: 502 });
});

// Guards against requests that clients never repeat, although they may have run, or only one of two VMs refuses their key.
test("another VM's refusal of a key is not passed back, as it may know another configuration", async t => {
    const refusal: targetSender.AttemptResult = { kind: "response", response: { ...response, statusCode: 401 } };
    t.like((await run([near], [refusal], true)).getEnd(), { kind: "failed", statusCode: 502 });
    t.like((await run([near], [refusal])).getEnd(), { kind: "refused", retryAfterMs: 500 });
});

// Guards against a VM of an earlier version that passes on a target's status that tells the client that its request has not run.
test("a target's status from another VM does not tell that a request has not run that may run only once", async t => {
    for (const statusCode of [408, 421, 429, 503]) {
        const signed: targetSender.AttemptResult = {
            kind: "response",
            response: {
                ...response,
                statusCode,
                head: fixture.testDialect.parseResponseHead(statusCode, ["x-seal", "s"]),
            },
        };
        const once = await run([near], [signed], false, [near], { kind: "non-idempotent" });
        t.like(once.getEnd(), { kind: "failed", statusCode: 502 });
        const repeatable = await run([near], [signed]);
        t.like(repeatable.getEnd(), { kind: "relayed" });
    }
});
