import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as ids from "../ids.js";
import * as configurationCheck from "./configurationCheck.js";
import * as types from "./Types.js";

const check = (fields: Partial<types.RouteConfiguration>): string[] =>
    configurationCheck
        .checkConfiguration({ ...fixture.createConfiguration(1), ...fields })
        .map(({ level, where, message }) => `${level} ${where} ${message}`);
const checkRoute = (fields: Partial<types.Route>): string[] => check({ routes: [fixture.createRoute(fields)] });

test("a configuration that works as written has no findings", t => {
    t.deepEqual(check({}), []);
    const organisation = { name: ids.toOrganisationName("a"), keys: [ids.toKeyDigest("1")], perSecond: 0.5, burst: 0 };
    t.deepEqual(check({ organisations: [organisation] }), []);
});

// Guards against requests that get 404, which clients never send again, from a route that looks as if it existed.
test("routes that can never match, or lead to no service, are errors", t => {
    const first = fixture.createRoute({ name: "first" });
    const hidden = check({ routes: [first, fixture.createRoute({ name: "second" })] });
    t.deepEqual(hidden, [
        'error route "second" never matches: route "first" has the same host and prefix and precedes it',
    ]);
    t.deepEqual(check({ routes: [first, fixture.createRoute({ name: "longer", prefix: "/jobs/new/" })] }), []);
    t.deepEqual(check({ routes: [first, fixture.createRoute({ name: "other", host: "other.example.org" })] }), []);
    for (const fields of [
        { host: "example.org:80" },
        { host: "*.example.org" },
        { prefix: "jobs/" },
        { prefix: "/a b/" },
    ]) {
        t.regex(checkRoute(fields).join(), /^error route "jobs" never matches/, JSON.stringify(fields));
    }
    t.regex(checkRoute({ prefix: "/jobs" }).join(), /^warning .*also matches longer names$/);
    const weightless = { services: [{ service: fixture.service, weight: 0 }] };
    t.regex(checkRoute(weightless).join(), /^error route "jobs" no service with a weight above 0/);
    t.regex(checkRoute({ services: [] }).join(), /no service with a weight above 0/);
    t.regex(check({ routes: [], services: [] }).join(), /^error routes none/);
});

test("limits that contradict each other are errors", t => {
    t.regex(checkRoute({ timeoutMs: 200 }).join(), /^error .*deadline of 200 ms is below the objective of 300 ms$/);
    t.regex(checkRoute({ timeoutMs: 0 }).join(), /^error route "jobs" deadline of 0 ms/);
    t.regex(checkRoute({ objectiveMs: 0 }).join(), /^error route "jobs" objective of 0 ms/);
    t.regex(checkRoute({ maxTargets: 0 }).join(), /^error route "jobs" 0 attempts/);
    t.regex(checkRoute({ maxTargets: 1.5 }).join(), /^error route "jobs" 1.5 attempts/);
    const { limits } = fixture.createConfiguration(1);
    t.regex(check({ limits: { ...limits, maxHeaderBytes: 0 } }).join(), /^error limits no bytes for headers/);
    t.regex(check({ limits: { ...limits, maxBodyBytes: 0 } }).join(), /^warning limits no bytes for bodies/);
});

test("organisations whose quota is below one request, and faults of their encoding, are errors", t => {
    const organisation = { name: ids.toOrganisationName("a"), keys: [ids.toKeyDigest("1")] };
    const findings = check({ organisations: [{ ...organisation, perSecond: 0.1, burst: 0 }] });
    t.regex(findings.join(), /^error organisation "a" the quota is below one request/);
    t.deepEqual(check({ organisations: [{ ...organisation, perSecond: 0.1, burst: 1 }] }), []);
    t.regex(check({ organisations: [] }).join(), /^error organisations none/);
    const organisationFaults = [{ row: "a", field: "keys", fault: "held twice" }];
    t.deepEqual(check({ organisations: [{ ...organisation, burst: 0 }], organisationFaults }), [
        'error organisation "a" keys: held twice',
    ]);
});

test("services that are not used, not listed or listed twice are named", t => {
    const { services } = fixture.createConfiguration(1);
    t.regex(check({ services: [] }).join(), /^warning route "jobs" service "bookings" is not among the services/);
    t.regex(check({ services: [...services, ...services] }).join(), /^error service "bookings" listed several times/);
    const other = { name: ids.toServiceName("other"), healthPath: "/", coldPerSecond: 1 };
    t.regex(check({ services: [...services, other] }).join(), /^warning service "other" no route/);
});

// Guards against a configuration that is written and then ignored by every VM.
test("a version that is older than the one in force, or the same with other content, is an error", t => {
    const [older, newer] = [fixture.createConfiguration(1), fixture.createConfiguration(2)];
    t.is(configurationCheck.checkVersion(newer, older, true).length, 1);
    t.is(configurationCheck.checkVersion(newer, newer, true).length, 1);
    t.deepEqual(configurationCheck.checkVersion(newer, newer, false), []);
    t.deepEqual(configurationCheck.checkVersion(older, newer, true), []);
});
