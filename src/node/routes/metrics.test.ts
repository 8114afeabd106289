import * as net from "node:net";
import test from "ava";
import * as undici from "undici";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as metrics from "./metrics.js";
import * as metricsServer from "./metricsServer.js";

const createMetrics = (): metrics.RouteMetrics =>
    metrics.createRouteMetrics({
        getConfigurationVersion: () => 12,
        computeStoreAgeMs: () => Infinity,
        countTargets: () => 26,
        countBlockedRequests: () => 2,
        countLimitedTargets: () => 0,
        countLeavingTargets: () => 0,
        isCutOff: () => false,
        takeMaxLoopDelayMs: () => 1_500,
        countPeers: () => 3,
        countActiveVms: () => 1,
        countClientConnections: () => 4,
        countBodyBytes: () => 0,
        countWaitingBodies: () => 0,
        countTargetConnectionsOpened: () => 9,
        countDroppedLogLines: () => 0,
        countIgnoredChanges: () => 5,
        getQuotaCounts: () => ({ charged: 0, refused: 0, takenBack: 0 }),
        countMalformedRows: () => 6,
        listTraffic: () => [{ kind: "target", direction: "in", zones: "other", bytes: 7 }],
    });

const listenOnFreePort = (): Promise<{ readonly server: net.Server; readonly address: shared.Address }> =>
    new Promise(resolve => {
        const server = net.createServer();
        server.listen({ host: "127.0.0.1", port: 0 }, () => {
            const { port } = server.address() as net.AddressInfo;
            resolve({ server, address: ids.toAddress(`127.0.0.1:${port}`) });
        });
    });

test("requests and attempts are counted by their end", async t => {
    const routeMetrics = createMetrics();
    routeMetrics.recordRequest("served", 120);
    routeMetrics.recordRequest("refused", 5);
    routeMetrics.recordAttempt("answered");
    routeMetrics.recordHedge();
    routeMetrics.recordProbe(false);
    routeMetrics.recordCrash("unconfirmed");
    routeMetrics.recordRelay("not taken");
    routeMetrics.recordError("exchange");
    routeMetrics.recordNotRun("target");
    routeMetrics.recordKeyFault("ambiguous");
    routeMetrics.recordUnreadable(true);
    routeMetrics.recordUnexpectedResponse("other-request");
    const text = await routeMetrics.format();
    t.regex(text, /tarragonpath_request_duration_seconds_bucket\{le="0.1",end="served"\} 0/);
    t.regex(text, /tarragonpath_request_duration_seconds_bucket\{le="0.15",end="served"\} 1/);
    t.regex(text, /tarragonpath_not_run_responses_total\{source="target"\} 1/);
    t.regex(text, /tarragonpath_key_refusals_total\{reason="ambiguous"\} 1/);
    t.regex(text, /tarragonpath_unreadable_requests_total\{behind_request="true"\} 1/);
    t.regex(text, /tarragonpath_unexpected_responses_total\{kind="other-request"\} 1/);
    t.regex(text, /tarragonpath_request_duration_seconds_count\{end="refused"\} 1/);
    t.regex(text, /tarragonpath_attempts_total\{end="answered"\} 1/);
    t.regex(text, /tarragonpath_hedges_total 1/);
    t.regex(text, /tarragonpath_probes_total\{answered="false"\} 1/);
    t.regex(text, /tarragonpath_crashes_total\{end="unconfirmed"\} 1/);
    t.regex(text, /tarragonpath_unexpected_errors_total\{source="exchange"\} 1/);
    t.regex(text, /tarragonpath_relays_total\{end="not taken"\} 1/);
    t.regex(text, /tarragonpath_blocked_requests 2/);
    t.regex(text, /tarragonpath_traffic_bytes_total\{kind="target",direction="in",zones="other"\} 7/);
    t.regex(text, /tarragonpath_event_loop_delay_seconds 1.5/);
    t.regex(text, /tarragonpath_configuration_version 12/);
    t.regex(text, /tarragonpath_store_age_seconds \+Inf/);
});

test("counters read from a source do not add up over two scrapes", async t => {
    const routeMetrics = createMetrics();
    await routeMetrics.format();
    const text = await routeMetrics.format();
    t.regex(text, /tarragonpath_target_connections_opened_total 9/);
    t.regex(text, /tarragonpath_ignored_changes_total 5/);
    t.regex(text, /tarragonpath_malformed_rows_total 6/);
});

test("metrics are served at their path", async t => {
    const { server, address } = await listenOnFreePort();
    await new Promise(resolve => server.close(resolve));
    const logger = silentLogger.createSilentLogger();
    const serving = metricsServer.listenForMetrics({ address, metrics: createMetrics(), logger });
    const response = await undici.request(`http://${address}${metricsServer.metricsPath}`);
    t.is(response.statusCode, 200);
    t.regex(await response.body.text(), /# TYPE tarragonpath_targets gauge\n/);
    const other = await undici.request(`http://${address}/other`);
    t.is(other.statusCode, 404);
    await other.body.dump();
    serving.dispose();
});

test("a port in use is logged and has no other effect", async t => {
    const { server, address } = await listenOnFreePort();
    const logged = new Promise<string>(resolve => {
        const logger = { ...silentLogger.createSilentLogger(), error: resolve };
        const serving = metricsServer.listenForMetrics({ address, metrics: createMetrics(), logger });
        t.teardown(() => serving.dispose());
    });
    t.is(await logged, "metrics: server failed");
    server.close();
});
