import test from "ava";
import * as ids from "../../common/ids.js";
import * as callers from "../../common/routes/callers.js";
import * as routeTable from "../../common/routes/routeTable.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as exchangeOptions from "./exchangeOptions.js";
import * as exchangeRequest from "./exchangeRequest.js";
import * as requestHandler from "./requestHandler.js";

const [heldKey, newKey] = [ids.toKeyDigest("a1".repeat(32)), ids.toKeyDigest("b2".repeat(32))];
const organisation: routes.Organisation = {
    name: ids.toOrganisationName("acme"),
    keys: [heldKey],
    priority: 7,
    burst: 0,
};
const configuration: routes.RouteConfiguration = {
    ...fixture.createConfiguration(4),
    routes: [
        fixture.createRoute(),
        fixture.createRoute({ name: "open", prefix: "/open/", isPublic: true }),
        fixture.createRoute({ name: "empty", prefix: "/empty/", services: [] }),
    ],
    organisations: [organisation],
};

/** Creates a handler whose requests end where they would be sent, with what it was told of them. */
const createHandler = (initial: routes.RouteConfiguration | undefined) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const sent: exchangeRequest.ExchangeRequest[] = [];
    const faults: string[] = [];
    const ends: string[] = [];
    const lines: shared.LogFields[] = [];
    let table = initial === undefined ? undefined : routeTable.createRouteTable(initial);
    let isInTouch = true;
    let isBlocked = false;
    const logLine = (message: string, fields: shared.LogFields = {}): void => void lines.push({ message, ...fields });
    const exchange: Pick<exchangeOptions.ExchangeOptions, "scheduler" | "logger" | "crashes" | "drain"> = {
        scheduler,
        logger: { ...silentLogger.createSilentLogger(), warn: logLine, info: logLine },
        drain: fixture.createDrainControl(scheduler),
        crashes: { recordSuccess: () => undefined, isBlocked: () => isBlocked },
    };
    const handler = requestHandler.createRequestHandler({
        dialect: fixture.testDialect,
        // A request that is passed on uses nothing else.
        exchange: exchange as exchangeOptions.ExchangeOptions,
        relay: {
            run: request => {
                sent.push(request);
                return Promise.resolve({ kind: "failed", reason: "sent", statusCode: 502 });
            },
        },
        quotas: { charge: () => Promise.resolve({ kind: "charged", charge: undefined }), takeBack: () => undefined },
        isCutOff: () => true,
        isInTouch: () => isInTouch,
        getTable: () => table,
        waitForStart: () => Promise.resolve("started"),
        recordRequest: end => void ends.push(end),
        recordNotRun: () => undefined,
        recordKeyFault: fault => void faults.push(fault),
    });
    const handle = async (headers: readonly string[], url = "/jobs/1"): Promise<number | undefined> => {
        const response = await handler.handle({
            method: "GET",
            url,
            headers: ["host", "example.org", ...headers],
            body: Buffer.alloc(0),
            receivedAtMs: scheduler.now(),
            signal: new AbortController().signal,
        });
        return response?.statusCode;
    };
    return {
        handle,
        /** Handles a request whose exchange ends here; its status is that of the exchange. */
        send: async (headers: readonly string[], url?: string): Promise<exchangeRequest.ExchangeRequest | undefined> =>
            (await handle(headers, url)) === 502 ? sent.at(-1) : undefined,
        apply: (next: routes.RouteConfiguration) => (table = routeTable.createRouteTable(next)),
        /** From now on, identified requests are refused as they crash targets, with 502. */
        block: () => (isBlocked = true),
        setInTouch: (value: boolean) => (isInTouch = value),
        sent,
        faults,
        ends,
        lines,
    };
};

const id = ["x-id", "r1"];

// Guards against statuses that clients take for another fault: they never repeat a request after 400, 401 and 404.
test("the configuration, the request's id, its route and its key are checked in this order", async t => {
    const withoutConfiguration = createHandler(undefined);
    t.is(await withoutConfiguration.handle([]), 503);
    const { handle, sent, faults, ends } = createHandler(configuration);
    t.is(await handle([]), 400);
    t.is(await handle(id, "/none/"), 404);
    t.is(await handle(id, "/empty/"), 404);
    t.is(await handle(id), 401);
    t.is(await handle([...id, "x-key", newKey]), 401);
    t.deepEqual(faults, ["missing", "unknown"]);
    t.deepEqual(ends, ["no-route", "no-route", "unidentified", "unidentified"]);
    t.is(sent.length, 0, "none of them runs anywhere");
});

// Guards against keys that reach a target or a log, and against organisations that clients state.
test("a request with a key is sent with its organisation, priority and fingerprint, and without the key", async t => {
    const { send, lines } = createHandler(configuration);
    const request = await send([...id, "x-key", heldKey, "x-statement", `other;${"0".repeat(64)}`]);
    t.is(request?.organisation, organisation.name);
    t.is(request?.route.priority, 7);
    t.is(request?.outgoing.caller?.key, heldKey);
    t.false(request?.outgoing.headers.includes("x-key"));
    const open = await send([...id, "x-key", newKey], "/open/");
    t.is(open?.organisation, undefined);
    t.is(open?.route.priority, 1);
    t.true(open?.outgoing.headers.includes("x-key"), "nobody holds the key");
    const openWithHeldKey = await send([...id, "x-key", heldKey], "/open/");
    t.false(openWithHeldKey?.outgoing.headers.includes("x-key"));
    t.notRegex(JSON.stringify(lines), new RegExp(heldKey));
    t.true(lines.some(line => line["organisation"] === organisation.name));
});

test("requests of two organisations have different fingerprints, those of anonymous callers the same as before", async t => {
    const other = { ...organisation, name: ids.toOrganisationName("other"), keys: [newKey] };
    const { send, apply } = createHandler({ ...configuration, organisations: [organisation, other] });
    const first = await send([...id, "x-key", heldKey]);
    const second = await send([...id, "x-key", newKey]);
    apply(fixture.createConfiguration(5));
    const anonymous = await send([...id, "x-key", heldKey]);
    t.is(new Set([first, second, anonymous].map(request => request?.fingerprint)).size, 3);
    t.true(anonymous?.outgoing.headers.includes("x-key"), "no organisation holds it");
    t.is(anonymous?.fingerprint, (await send(id))?.fingerprint);
});

// Guards against requests on an open connection, or pipelined on one, that run with a key that was taken away.
test("each request is identified by the configuration in force when it is handled", async t => {
    const { handle, send, apply, sent } = createHandler(configuration);
    t.truthy(await send([...id, "x-key", heldKey]));
    apply({ ...configuration, version: 5, organisations: [{ ...organisation, keys: [newKey] }] });
    t.is(await handle([...id, "x-key", heldKey]), 401);
    t.truthy(await send([...id, "x-key", newKey]));
    apply({ ...configuration, version: 6, organisations: [{ ...organisation, name: ids.toOrganisationName("new") }] });
    t.is((await send([...id, "x-key", heldKey]))?.organisation, ids.toOrganisationName("new"));
    t.deepEqual(
        sent.map(request => request.configurationVersion),
        [4, 5, 6],
    );
});

// Guards against callers that are lost for good, as their key was added while this VM was out of touch.
test("a VM that is out of touch serves the keys that it knows and refuses unknown ones for a time", async t => {
    const { handle, send, setInTouch, lines } = createHandler(configuration);
    setInTouch(false);
    t.truthy(await send([...id, "x-key", heldKey]));
    t.is(await handle([...id, "x-key", newKey]), 503);
    t.is(await handle(id), 401);
    t.is(await handle(id, "/none/"), 404);
    const refusals = lines.filter(({ message }) => message === "identity: request refused");
    t.like(refusals[0], { request: "r1", route: "jobs", status: 503, fault: "unknown", isInTouch: false });
    t.like(refusals[1], { status: 401, fault: "missing" });
});

// Guards against a key that is taken away or added while a request is passed on between VMs with different configurations.
test("a request that was passed on is verified, and refused for a time if the other VM has a newer configuration", async t => {
    const { handle, apply, faults, setInTouch, block } = createHandler(configuration);
    block();
    const pass = (version: number, name: string, key: shared.KeyDigest): Promise<number | undefined> =>
        handle([
            ...[...id, "x-relayed", "1", "x-configuration", String(version)],
            ...["x-statement", `${name};${callers.computeProof("r1", key)}`],
        ]);
    t.is(await pass(4, "acme", heldKey), 502, "identified");
    t.is(await pass(5, "acme", heldKey), 502, "identified");
    t.is(await pass(4, "acme", newKey), 401);
    t.is(await pass(5, "acme", newKey), 503, "the key may have been added in version 5");
    t.deepEqual(faults, ["unknown", "unknown"]);
    setInTouch(false);
    t.is(await pass(4, "acme", newKey), 503);
    t.is(await pass(4, "acme", heldKey), 502);
    setInTouch(true);
    apply({ ...configuration, version: 6, organisations: [{ ...organisation, keys: [newKey] }] });
    t.is(await pass(4, "acme", heldKey), 401, "the key was taken away in version 6");
    t.is(await pass(4, "acme", newKey), 502);
    t.is(faults.length, 4);
});
