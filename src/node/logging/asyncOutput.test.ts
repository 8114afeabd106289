import test from "ava";
import * as asyncOutput from "./asyncOutput.js";

type Callback = (error: Error | null, written: number) => void;

test("while the reader stalls, text waits up to a bound and the rest is counted as dropped", t => {
    const writes: { readonly data: Buffer; readonly callback: Callback }[] = [];
    const output = asyncOutput.createAsyncOutput(1, (_fd, data, callback) => void writes.push({ data, callback }));
    const line = "x".repeat(100_000);
    for (let count = 0; count < 20; count++) {
        output.write(line);
    }
    t.is(writes.length, 1);
    t.is(output.countDropped(), 9 * 100_000);
});

test("a part that was written is not written again", async t => {
    let written = "";
    const output = asyncOutput.createAsyncOutput(1, (_fd, data, callback) => {
        const part = data.subarray(0, 3);
        written += part.toString();
        setImmediate(() => callback(null, part.length));
    });
    output.write("first\n");
    output.write("second\n");
    await output.drain(1_000);
    t.is(written, "first\nsecond\n");
});
