import test from "ava";
import * as ids from "../ids.js";
import * as shared from "../Types.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as callers from "./callers.js";
import * as types from "./Types.js";

const toKey = (digit: string): shared.KeyDigest => ids.toKeyDigest(digit.repeat(64));
const [keyA, keyB, keyC, keyD] = ["a", "b", "c", "d"].map(toKey) as [
    shared.KeyDigest,
    shared.KeyDigest,
    shared.KeyDigest,
    shared.KeyDigest,
];
const route = fixture.createRoute();

const createOrganisation = (name: string, ...keys: readonly shared.KeyDigest[]): types.Organisation => ({
    name: ids.toOrganisationName(name),
    keys,
    burst: 0,
});

const createClaim = (...keys: readonly shared.KeyDigest[]): callers.CallerClaim => ({
    requestId: "r1",
    keys,
    statement: undefined,
});

/** Identifies the caller of a request; returns the organisation's name, or what is wrong. */
const identify = (table: callers.CallerTable, claim: callers.CallerClaim, of = route): string => {
    const identification = table.identify(of, claim);
    switch (identification.kind) {
        case "anonymous":
            return "anonymous";
        case "identified":
            return `organisation ${identification.caller.organisation.name}`;
        case "refused":
            return identification.fault;
    }
};

test("a key identifies the organisation that holds it", t => {
    const table = callers.createCallerTable([createOrganisation("one", keyA, keyB), createOrganisation("two", keyC)]);
    t.is(identify(table, createClaim(keyB)), "organisation one");
    t.is(identify(table, createClaim(keyC, keyC)), "organisation two");
    t.is(identify(table, createClaim()), "missing");
    t.is(identify(table, createClaim(keyD)), "unknown");
    t.is(identify(table, createClaim(keyA, keyC)), "ambiguous", "a request with keys of two organisations");
    t.is(identify(table, createClaim(keyA, keyD)), "ambiguous");
});

// Guards against requests of one organisation that count for another one.
test("a key that two organisations hold, or one without a name, identifies nobody, whatever their order", t => {
    const rows = [createOrganisation("one", keyA, keyB), createOrganisation("two", keyA), createOrganisation("", keyD)];
    for (const list of [rows, [...rows].reverse(), [...rows, createOrganisation("three", keyA)]]) {
        const table = callers.createCallerTable(list);
        t.is(identify(table, createClaim(keyA)), "ambiguous");
        t.is(identify(table, createClaim(keyD)), "ambiguous");
        t.is(identify(table, createClaim(keyB)), "organisation one");
        t.true([keyA, keyB, keyD].every(table.isHeld), "all of them are kept from targets");
        t.false(table.isHeld(keyC));
    }
});

test("a key that moves to another organisation identifies that one from then on", t => {
    const before = callers.createCallerTable([createOrganisation("one", keyA), createOrganisation("two")]);
    const after = callers.createCallerTable([createOrganisation("one"), createOrganisation("two", keyA)]);
    t.is(identify(before, createClaim(keyA)), "organisation one");
    t.is(identify(after, createClaim(keyA)), "organisation two");
});

test("no key is needed without organisations and on public routes, but with an empty list of organisations", t => {
    const organisations = [createOrganisation("one", keyA)];
    const publicRoute = fixture.createRoute({ isPublic: true });
    t.is(identify(callers.createCallerTable(undefined), createClaim(keyA)), "anonymous");
    t.is(identify(callers.createCallerTable(organisations), createClaim(keyD), publicRoute), "anonymous");
    t.is(identify(callers.createCallerTable([]), createClaim()), "missing");
    t.is(identify(callers.createCallerTable([]), createClaim(keyA)), "unknown");
});

// Guards against organisations that are stated by someone who knows none of their keys.
test("a statement of another VM counts with the proof of a key that the organisation holds alone", t => {
    const rows = [
        createOrganisation("one", keyB, keyA),
        createOrganisation("two", keyC, keyD),
        createOrganisation("x", keyD),
    ];
    const table = callers.createCallerTable(rows);
    const state = (name: string, key: shared.KeyDigest, requestId = "r1"): callers.CallerClaim => ({
        requestId: "r1",
        // The key of a request that is passed on counts only where the other VM states nothing.
        keys: [keyC],
        statement: { organisation: ids.toOrganisationName(name), proof: callers.computeProof(requestId, key) },
    });
    t.is(identify(table, state("one", keyA)), "organisation one");
    t.is(identify(table, state("two", keyA)), "unknown", "the key of another organisation");
    t.is(identify(table, state("two", keyD)), "unknown", "a key that two organisations hold");
    t.is(identify(table, state("none", keyA)), "unknown");
    t.is(identify(table, state("one", keyA, "r2")), "unknown", "the proof of another request");
    const short = { ...state("one", keyA), statement: { organisation: ids.toOrganisationName("one"), proof: "00" } };
    t.is(identify(table, short), "unknown");
    const publicRoute = fixture.createRoute({ isPublic: true });
    t.is(identify(table, state("none", keyA), publicRoute), "anonymous");
    const without = { ...state("one", keyA), statement: undefined };
    t.is(identify(table, without), "organisation two", "VMs of earlier versions pass the key on");
});

// Guards against callers that never come back, as their key was added while this VM was out of touch.
test("a VM that may not know the newest organisations refuses for a time only", t => {
    const pick = callers.pickRefusalStatus;
    t.is(pick("unknown", { isInTouch: true, isOutdated: false }), 401);
    t.is(pick("unknown", { isInTouch: false, isOutdated: false }), 503);
    t.is(pick("ambiguous", { isInTouch: false, isOutdated: false }), 503);
    t.is(pick("missing", { isInTouch: false, isOutdated: false }), 401);
    t.is(pick("missing", { isInTouch: true, isOutdated: true }), 503);
    t.is(pick("unknown", { isInTouch: true, isOutdated: true }), 503);
});
