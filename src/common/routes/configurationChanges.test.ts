import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as ids from "../ids.js";
import * as configurationChanges from "./configurationChanges.js";

test("equal configurations of different versions have no changes", t => {
    const [first, second] = [fixture.createConfiguration(1), fixture.createConfiguration(2)];
    t.deepEqual(configurationChanges.compareConfigurations(first, second), []);
});

test("added, removed and changed parts are listed with the values that differ", t => {
    const current = fixture.createConfiguration(1);
    const next = {
        ...current,
        routes: [
            fixture.createRoute({ timeoutMs: 2_000, services: [{ service: fixture.service, weight: 3 }] }),
            fixture.createRoute({ prefix: "/new/" }),
        ],
        services: [],
    };
    t.deepEqual(configurationChanges.compareConfigurations(current, next), [
        {
            kind: "changed",
            where: "route example.org/jobs/",
            fields: ["timeoutMs: 1000 -> 2000", 'services: ["bookings 1"] -> ["bookings 3"]'],
        },
        { kind: "removed", where: 'service "bookings"', fields: [] },
        { kind: "added", where: "route example.org/new/", fields: [] },
    ]);
});

// Guards against keys in terminals and logs: their digests allow guesses at weak keys to be tested.
test("of keys only the number of those added and removed is given", t => {
    const createConfiguration = (...keys: string[]) => ({
        ...fixture.createConfiguration(1),
        organisations: [{ name: ids.toOrganisationName("a"), keys: keys.map(ids.toKeyDigest), burst: 0 }],
    });
    const [current, next] = [createConfiguration("key-1", "key-2"), createConfiguration("key-2", "key-3", "key-4")];
    t.deepEqual(configurationChanges.compareConfigurations(current, next), [
        { kind: "changed", where: 'organisation "a"', fields: ["keys: 2 added, 1 removed"] },
    ]);
    const without = configurationChanges.compareConfigurations(fixture.createConfiguration(1), next);
    t.deepEqual(
        without.map(({ kind, where }) => `${kind} ${where}`),
        ["changed callers", 'added organisation "a"'],
    );
    t.false(JSON.stringify(without).includes("key-"));
});
