import test from "ava";
import * as ids from "./ids.js";

test("addresses require a numeric IP and a port in range", t => {
    t.true(ids.isAddress("127.0.0.1:8080"));
    t.true(ids.isAddress("[::1]:8080"));
    t.false(ids.isAddress("localhost:8080"));
    t.false(ids.isAddress("127.0.0.1"));
    t.false(ids.isAddress("127.0.0.1:0"));
    t.false(ids.isAddress("127.0.0.1:65536"));
});

test("names with upper case, spaces or slashes are rejected, as is an empty name", t => {
    t.true(ids.isName("tally-desk"));
    t.false(ids.isName("Tally"));
    t.false(ids.isName("a b"));
    t.false(ids.isName("a/b"));
    t.false(ids.isName(""));
});
