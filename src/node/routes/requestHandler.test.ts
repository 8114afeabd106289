import test from "ava";
import * as routeTable from "../../common/routes/routeTable.js";
import * as ids from "../../common/ids.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as exchangeOptions from "./exchangeOptions.js";
import * as notRun from "./notRun.js";
import * as requestHandler from "./requestHandler.js";
import * as startupWait from "./startupWait.js";

// Guards against a request that may crash as many targets again in each service that its route is split over or moved to.
test("equal requests have the same fingerprint in all services of a split route", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const services = ["a", "b"].map(name => ({ service: ids.toServiceName(name), weight: 1 }));
    const configuration = { ...fixture.createConfiguration(1), routes: [fixture.createRoute({ services })] };
    const fingerprints = new Set<string>();
    const exchange: Pick<exchangeOptions.ExchangeOptions, "scheduler" | "logger" | "crashes" | "drain"> = {
        scheduler,
        logger: silentLogger.createSilentLogger(),
        drain: fixture.createDrainControl(scheduler),
        crashes: {
            recordSuccess: () => undefined,
            isBlocked: fingerprint => {
                fingerprints.add(fingerprint);
                return true;
            },
        },
    };
    const handler = requestHandler.createRequestHandler({
        dialect: fixture.testDialect,
        // A request that is refused for its crashes uses nothing else.
        exchange: exchange as exchangeOptions.ExchangeOptions,
        relay: { run: () => Promise.resolve(undefined) },
        quotas: { charge: () => Promise.resolve({ kind: "charged", charge: undefined }), takeBack: () => undefined },
        isCutOff: () => false,
        isInTouch: () => true,
        getTable: () => table,
        waitForStart: () => Promise.resolve("started"),
        recordRequest: () => undefined,
        recordNotRun: () => undefined,
        recordKeyFault: () => undefined,
    });
    const table = routeTable.createRouteTable(configuration);
    for (let count = 0; count < 30; count++) {
        const response = await handler.handle({
            method: "GET",
            url: "/jobs/1?page=2",
            headers: ["host", "Example.org:80", "x-id", `r${count}`],
            body: Buffer.alloc(0),
            receivedAtMs: scheduler.now(),
            signal: new AbortController().signal,
        });
        t.is(response?.statusCode, 502);
    }
    t.is(fingerprints.size, 1);
});

/** Handles a request with a deadline of 100 ms at a VM that waits for its configuration first. */
const handleAfterWait = async (wait: { readonly forMs: number; readonly end: startupWait.WaitEnd }) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const notRunSources: notRun.NotRunSource[] = [];
    const exchange: Pick<exchangeOptions.ExchangeOptions, "scheduler" | "logger" | "crashes" | "drain"> = {
        scheduler,
        logger: silentLogger.createSilentLogger(),
        drain: fixture.createDrainControl(scheduler),
        crashes: { recordSuccess: () => undefined, isBlocked: () => false },
    };
    const handler = requestHandler.createRequestHandler({
        dialect: fixture.testDialect,
        // A request that is not sent uses nothing else.
        exchange: exchange as exchangeOptions.ExchangeOptions,
        relay: { run: () => Promise.resolve(undefined) },
        isCutOff: () => false,
        isInTouch: () => true,
        quotas: { charge: () => Promise.resolve({ kind: "charged", charge: undefined }), takeBack: () => undefined },
        getTable: () =>
            wait.end === "started" ? routeTable.createRouteTable(fixture.createConfiguration(1)) : undefined,
        waitForStart: async () => {
            await scheduler.advance(wait.forMs);
            return wait.end;
        },
        recordRequest: () => undefined,
        recordKeyFault: () => undefined,
        recordNotRun: source => notRunSources.push(source),
    });
    const response = await handler.handle({
        method: "GET",
        url: "/jobs/1",
        headers: ["host", "example.org", "x-id", "r1", "x-patience", "100"],
        body: Buffer.alloc(0),
        receivedAtMs: 0,
        signal: new AbortController().signal,
    });
    return { response, notRunSources };
};

// Guards against work of targets for a client that has given up: an attempt was started with no time left.
test("a request whose deadline has passed before it could be sent is refused, and not sent", async t => {
    const { response } = await handleAfterWait({ forMs: 100, end: "started" });
    t.is(response?.statusCode, 503);
});

// Guards against refusals that are counted and logged although nobody gets them.
test("a request whose client has left while it waited for the configuration gets no response", async t => {
    const { response, notRunSources } = await handleAfterWait({ forMs: 50, end: "left" });
    t.is(response, undefined);
    t.deepEqual(notRunSources, []);
    t.is((await handleAfterWait({ forMs: 100, end: "timeout" })).response?.statusCode, 503);
});
