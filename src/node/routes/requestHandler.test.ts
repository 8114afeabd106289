import test from "ava";
import * as routeTable from "../../common/routes/routeTable.js";
import * as ids from "../../common/ids.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as exchangeOptions from "./exchangeOptions.js";
import * as requestHandler from "./requestHandler.js";

// Guards against a request that may crash as many targets again in each service that its route is split over or moved to.
test("equal requests have the same fingerprint in all services of a split route", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const services = ["a", "b"].map(name => ({ service: ids.toServiceName(name), weight: 1 }));
    const configuration = { ...fixture.createConfiguration(1), routes: [fixture.createRoute({ services })] };
    const fingerprints = new Set<string>();
    const exchange: Pick<exchangeOptions.ExchangeOptions, "scheduler" | "logger" | "crashes"> = {
        scheduler,
        logger: silentLogger.createSilentLogger(),
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
