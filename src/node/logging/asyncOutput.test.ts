import test from "ava";
import * as asyncOutput from "./asyncOutput.js";

type Callback = (error: Error | null, written: number) => void;

test("while the reader stalls, text is buffered up to a limit and the rest is dropped and counted", t => {
    const writes: { readonly data: Buffer; readonly callback: Callback }[] = [];
    const output = asyncOutput.createAsyncOutput(1, (_fd, data, callback) => void writes.push({ data, callback }));
    const line = "x".repeat(100_000);
    for (let count = 0; count < 20; count++) {
        output.write(line);
    }
    t.is(writes.length, 1);
    t.is(output.countDroppedBytes(), 9 * 100_000);
});

test("after a partial write, only the remaining bytes are written", async t => {
    let written = "";
    const output = asyncOutput.createAsyncOutput(1, (_fd, data, callback) => {
        const chunk = data.subarray(0, 3);
        written += chunk.toString();
        setImmediate(() => callback(null, chunk.length));
    });
    output.write("first\n");
    output.write("second\n");
    await output.drain(1_000);
    t.is(written, "first\nsecond\n");
});
