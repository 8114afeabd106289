import test from "ava";
import * as requestMatcher from "./requestMatcher.js";
import * as requestPattern from "./requestPattern.js";

const createMatcher = (idempotent: string[], nonIdempotent: string[] = []): requestMatcher.RequestMatcher => {
    const parse = (text: string) => requestPattern.parseRequestPattern(text) ?? { method: "", path: "" };
    return requestMatcher.createRequestMatcher({
        idempotent: idempotent.map(parse),
        nonIdempotent: nonIdempotent.map(parse),
    });
};

test("without patterns, only safe methods are idempotent", t => {
    const matcher = createMatcher([]);
    t.true(matcher.isIdempotent("GET", "/a"));
    t.true(matcher.isIdempotent("HEAD", "/a"));
    t.true(matcher.isIdempotent("OPTIONS", "/a"));
    t.false(matcher.isIdempotent("PUT", "/a"));
    t.false(matcher.isIdempotent("get", "/a"));
});

test("* matches one whole segment, and ** matches any remainder", t => {
    const matcher = createMatcher(["PUT /profiles/*", "* /search/**", "POST /exact.path"]);
    t.true(matcher.isIdempotent("PUT", "/profiles/1?x=/y"));
    t.false(matcher.isIdempotent("PUT", "/profiles/1/photos"));
    t.false(matcher.isIdempotent("PUT", "/profiles"));
    t.false(matcher.isIdempotent("POST", "/profiles/1"));
    t.true(matcher.isIdempotent("POST", "/search"));
    t.true(matcher.isIdempotent("DELETE", "/search/a/b"));
    t.false(matcher.isIdempotent("POST", "/searching"));
    t.true(matcher.isIdempotent("POST", "/exact.path"));
    t.false(matcher.isIdempotent("POST", "/exactxpath"));
});

test("a non-idempotent pattern takes precedence over the method and over an idempotent pattern", t => {
    const matcher = createMatcher(["PUT /a/**"], ["GET /pay/*", "PUT /a/book"]);
    t.false(matcher.isIdempotent("GET", "/pay/1"));
    t.true(matcher.isIdempotent("GET", "/pay"));
    t.false(matcher.isIdempotent("PUT", "/a/book"));
    t.true(matcher.isIdempotent("PUT", "/a/other"));
});

test("encoded or non-normalized paths do not make a non-idempotent request idempotent", t => {
    const matcher = createMatcher(["PUT /profiles/**"], ["GET /pay/*"]);
    for (const path of ["/%70ay/1", "//pay/1", "/x/../pay/1", "/pay/1/", "/./pay/1", "\\pay\\1", "/pay;v=1/1"]) {
        t.false(matcher.isIdempotent("GET", path), path);
    }
    for (const path of ["/profiles/../payouts/1", "/profiles/%2e%2e/payouts/1", "/profiles/..%2fpayouts"]) {
        t.false(matcher.isIdempotent("PUT", path), path);
    }
    t.true(matcher.isIdempotent("PUT", "/profiles/a%20b"));
    t.true(matcher.isIdempotent("PUT", "/profiles/%zz"));
});

test("patterns that could never match as intended are rejected", t => {
    const check = (path: string, method = "PUT") => requestPattern.checkRequestPattern({ method, path });
    t.is(check("/a/*/b/**"), undefined);
    t.is(check("/"), undefined);
    for (const path of ["a", "/a/", "//a", "/a/../b", "/a*", "/**/a", "/a?x=1", "/a%20b"]) {
        t.not(check(path), undefined, path);
    }
    t.not(check("/a", "put"), undefined);
});
