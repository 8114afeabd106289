import test from "ava";
import * as errors from "../errors/errors.js";
import * as ids from "../ids.js";
import * as keys from "./keys.js";

const service = ids.toServiceName("payments");

test("a key with an issued prefix is parsed into its arbiter and epoch", t => {
    const prefix = keys.formatKeyPrefix(ids.toIncarnationId("vm-1_a7"), 12);
    t.deepEqual(keys.parseKeyOrigin(`${prefix}order.7`), {
        kind: "issued",
        incarnation: ids.toIncarnationId("vm-1_a7"),
        epoch: 12,
    });
    t.throws(() => keys.formatKeyPrefix(ids.toIncarnationId("vm.1"), 0));
});

test("keys without a valid prefix are foreign", t => {
    for (const key of ["a", "order-7", "vm.01.x", "vm.-1.x", "vm.1234567890.x", ".1.x", "a b"]) {
        t.deepEqual(keys.parseKeyOrigin(key), { kind: "foreign" }, key);
    }
});

test("malformed keys and a prefix without further text are bad requests", t => {
    for (const key of ["", "x".repeat(201), "käse", "a\nb", "vm-1.3."]) {
        const error = t.throws(() => keys.parseKeyOrigin(key));
        t.true(errors.isCallError(error) && error.kind === "bad_request", key);
    }
    t.notThrows(() => keys.parseKeyOrigin("x".repeat(200)));
});

test("identifiers differ by service, and signatures by method, path and body length", t => {
    t.not(keys.computeKeyId(service, "k"), keys.computeKeyId(ids.toServiceName("bookings"), "k"));
    const signatures = [
        keys.computeSignature("POST", "/a", 1),
        keys.computeSignature("PUT", "/a", 1),
        keys.computeSignature("POST", "/b", 1),
        keys.computeSignature("POST", "/a", 2),
        keys.computeSignature("POST", "/a", undefined),
    ];
    t.is(new Set(signatures).size, signatures.length);
    t.is(signatures[0], keys.computeSignature("POST", "/a", 1));
});
