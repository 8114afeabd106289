import * as timers from "node:timers/promises";
import test from "ava";
import * as ids from "../../common/ids.js";
import * as routeTable from "../../common/routes/routeTable.js";
import * as routes from "../../common/routes/Types.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as membershipFixture from "../../testing/routes/membershipFixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as exchangeOptions from "./exchangeOptions.js";
import * as peerRelay from "./peerRelay.js";
import * as quotas from "./quotas.js";
import * as requestHandler from "./requestHandler.js";

const key = ids.toKeyDigest("a1".repeat(32));
const organisation: routes.Organisation = {
    name: ids.toOrganisationName("acme"),
    keys: [key],
    perSecond: 10,
    burst: 10,
};
const charge: quotas.Charge = {
    organisation: organisation.name,
    charge: { id: 1, session: 0, source: { kind: "credit", sequence: 1 } },
};

/** Handles a request of the organisation, which the other VM ends; returns the response and the charges taken back. */
const handleRequest = async (charged: quotas.ChargeResult, end: peerRelay.RelayEnd, headers = ["x-key", key]) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const [requested, takenBack]: [string[], quotas.Charge[]] = [[], []];
    const exchange: Pick<exchangeOptions.ExchangeOptions, "scheduler" | "logger" | "crashes" | "drain"> = {
        scheduler,
        logger: silentLogger.createSilentLogger(),
        drain: fixture.createDrainControl(scheduler),
        crashes: { recordSuccess: () => undefined, isBlocked: () => false },
    };
    const table = routeTable.createRouteTable({
        ...fixture.createConfiguration(1),
        routes: [fixture.createRoute(), fixture.createRoute({ name: "open", prefix: "/open/", isPublic: true })],
        organisations: [organisation],
    });
    const handler = requestHandler.createRequestHandler({
        dialect: fixture.testDialect,
        // A request that is passed on uses nothing else.
        exchange: exchange as exchangeOptions.ExchangeOptions,
        relay: { run: () => Promise.resolve(end) },
        quotas: {
            charge: name => {
                requested.push(name);
                return Promise.resolve(charged);
            },
            takeBack: taken => void takenBack.push(taken),
        },
        isCutOff: () => true,
        isInTouch: () => true,
        getTable: () => table,
        waitForStart: () => Promise.resolve("started"),
        recordRequest: () => undefined,
        recordNotRun: () => undefined,
        recordKeyFault: () => undefined,
    });
    const response = await handler.handle({
        method: "GET",
        url: headers.length > 0 ? "/jobs/1" : "/open/1",
        headers: ["host", "example.org", "x-id", "r1", ...headers],
        body: Buffer.alloc(0),
        receivedAtMs: scheduler.now(),
        signal: new AbortController().signal,
    });
    return { response, requested, takenBack };
};

const failed: peerRelay.RelayEnd = { kind: "failed", reason: "broken", statusCode: 502 };

// Guards against refusals that do not say when there is room again, and against requests that run without a charge.
test("requests over the quota get 429 with the time until there is room, and 503 where nobody can charge them", async t => {
    const over = await handleRequest({ kind: "exhausted", retryAfterMs: 250 }, failed);
    t.is(over.response?.statusCode, 429);
    t.is(over.response?.headers[over.response.headers.indexOf("Retry-After") + 1], "0.25");
    const unavailable = await handleRequest({ kind: "unavailable", retryAfterMs: 500 }, failed);
    t.is(unavailable.response?.statusCode, 503);
    t.deepEqual([...over.takenBack, ...unavailable.takenBack], []);
});

// Guards against quotas that are used up by requests that ran nowhere, and against requests that may have run for nothing.
test("a charge stays unless the request has not run here", async t => {
    const mayHaveRun = await handleRequest({ kind: "charged", charge }, failed);
    t.deepEqual([mayHaveRun.requested, mayHaveRun.takenBack], [[organisation.name], []]);
    const refused = { kind: "refused", reason: "no free slot", retryAfterMs: 500 } as const;
    const notRun = await handleRequest({ kind: "charged", charge }, refused);
    t.deepEqual(notRun.takenBack, [charge]);
});

test("requests on public routes are not charged", async t => {
    const open = await handleRequest({ kind: "exhausted", retryAfterMs: 250 }, failed, []);
    t.is(open.response?.statusCode, 502);
    t.deepEqual(open.requested, []);
});

// Guards against messages that the channels between VMs do not carry.
test("a follower's requests are charged by the hub's ledger", async t => {
    const { vms } = await membershipFixture.startVms(2);
    t.true(await membershipFixture.waitUntil(() => vms.every(vm => vm.member.listPeers().length === 2)));
    vms.forEach(vm => vm.member.quotas.setConfiguration([organisation]));
    // The hub's share of the quota takes effect after 1.3 s.
    await timers.setTimeout(2_500);
    const request = { id: "r1", signal: new AbortController().signal };
    const results = await Promise.all(vms.map(vm => vm.member.quotas.charge(organisation.name, request)));
    t.deepEqual(
        results.map(result => result.kind),
        ["charged", "charged"],
    );
    vms.forEach(vm => vm.member.dispose());
});
