import test from "ava";
import * as ids from "../ids.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as configurationDifference from "./configurationDifference.js";
import * as types from "./Types.js";

/** Stands for a digest. */
const computeDigest = (text: string): string => text;

const createOrganisation = (name: string, perSecond: number): types.Organisation => ({
    name: ids.toOrganisationName(name),
    keys: [],
    perSecond,
    burst: perSecond,
});

const createConfiguration = (
    version: number,
    fields: Partial<types.RouteConfiguration> = {},
): types.RouteConfiguration => ({
    ...fixture.createConfiguration(version),
    organisations: Array.from({ length: 70 }, (_value, index) => createOrganisation(`org-${index}`, 1)),
    ...fields,
});

const base = createConfiguration(1);
const [first, ...others] = base.organisations ?? [];

const sendDifference = (next: types.RouteConfiguration, known: types.RouteConfiguration | undefined = base) => {
    const difference = configurationDifference.computeDifference(base, next, computeDigest);
    if (difference === undefined) {
        return "whole";
    }
    const sent = JSON.parse(JSON.stringify(difference)) as configurationDifference.ConfigurationDifference;
    return configurationDifference.applyDifference(known, sent, computeDigest);
};

test("rows that were added, changed or removed arrive, and so do other fields", t => {
    const changes: readonly Partial<types.RouteConfiguration>[] = [
        {},
        { organisations: [...others] },
        { organisations: [createOrganisation("org-0", 9), ...others] },
        { organisations: [...(base.organisations ?? []), createOrganisation("new", 1)] },
        { routes: [fixture.createRoute({ priority: 0 }), fixture.createRoute({ name: "more", prefix: "/more/" })] },
        { routes: [], services: [] },
        { limits: { ...base.limits, maxBodyBytes: 5 } },
    ];
    for (const change of changes) {
        const next = createConfiguration(2, change);
        t.deepEqual(sendDifference(next), next);
    }
    const withoutOrganisations = fixture.createConfiguration(2);
    t.deepEqual(sendDifference(withoutOrganisations), withoutOrganisations);
});

// Guards against a VM that has another configuration than its hub believes and ends up with a mixture of both.
test("a difference is applied to the configuration that it is based on only", t => {
    const next = createConfiguration(3, { organisations: [...others] });
    t.is(sendDifference(next, createConfiguration(2)), undefined);
    const difference = configurationDifference.computeDifference(base, next, computeDigest);
    t.truthy(difference);
    if (difference !== undefined) {
        t.is(configurationDifference.applyDifference(undefined, difference, computeDigest), undefined);
        const changed = { ...difference, digest: "other" };
        t.is(configurationDifference.applyDifference(base, changed, computeDigest), undefined);
        // It has come from the store meanwhile.
        t.is(configurationDifference.applyDifference(next, difference, computeDigest), next);
    }
});

test("rows in another order, or of the same name, are sent whole", t => {
    t.is(sendDifference(createConfiguration(2, { organisations: [...others, ...(first ? [first] : [])] })), "whole");
    const twice = [...(base.organisations ?? []), createOrganisation("org-3", 2)];
    t.is(sendDifference(createConfiguration(2, { organisations: twice })), "whole");
});

test("one changed row of seventy takes a small part of the configuration", t => {
    const next = createConfiguration(2, { organisations: [createOrganisation("org-0", 9), ...others] });
    const difference = configurationDifference.computeDifference(base, next, () => "x".repeat(44));
    t.true(JSON.stringify(difference).length * 5 < JSON.stringify(next).length);
});
