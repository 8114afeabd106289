import test from "ava";
import * as ids from "../ids.js";
import * as keyTable from "./keyTable.js";
import * as keys from "./keys.js";
import * as types from "./Types.js";

const service = ids.toServiceName("payments");
const count = 5_000;

const createState = (index: number): types.KeyState => {
    const signature = keys.computeSignature("POST", "/pay", index);
    return index % 3 === 0
        ? { kind: "mayHaveRun", signature, error: "internal" }
        : { kind: "done", signature, status: 200 + (index % 400) };
};

test("packed keys keep all states while the table grows, separately for each epoch", t => {
    const table = keyTable.createKeyTable({ maxKeys: count, keptAnswerBytes: 0 });
    for (let index = 0; index < count; index++) {
        t.true(table.hasRoom());
        table.set(index % 2, keys.computeKeyId(service, `k${index}`), createState(index));
    }
    t.false(table.hasRoom());
    for (let index = 0; index < count; index++) {
        const key = keys.computeKeyId(service, `k${index}`);
        t.deepEqual(table.get(index % 2, key), createState(index));
        t.is(table.get(1 - (index % 2), key).kind, "notRun");
        t.is(table.findEpoch(key), index % 2);
    }
    t.is(table.removeEpochsBefore(1), count / 2);
    t.is(table.measure().keys, count / 2);
});

test("identifiers and signatures that do not fit the packed format are stored unchanged", t => {
    const table = keyTable.createKeyTable({ maxKeys: 10, keptAnswerBytes: 0 });
    const states: types.KeyState[] = ["s", "12345678", "1234567_", "POST /pay 10"].map(signature => ({
        kind: "done",
        signature: signature as types.RequestSignature,
        status: 70_000,
    }));
    states.forEach((state, index) => table.set(0, `key ${index}` as types.KeyId, state));
    states.forEach((state, index) => t.deepEqual(table.get(0, `key ${index}` as types.KeyId), state));
    t.is(table.measure().keys, states.length);
});

test("a stored response does not retain the larger buffer that its body is a view of", t => {
    const table = keyTable.createKeyTable({ maxKeys: 10, keptAnswerBytes: 10_000 });
    const key = keys.computeKeyId(service, "k");
    const body = new Uint8Array(1_000_000).subarray(10, 20).fill(7);
    table.addResponse(0, key, { status: 200, headers: [], body });
    const kept = table.findResponse(key)?.body;
    t.deepEqual(kept, new Uint8Array(10).fill(7));
    t.is(kept?.buffer.byteLength, 10);
});
