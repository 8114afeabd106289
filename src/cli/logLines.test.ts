import test from "ava";
import * as logLines from "./logLines.js";

test("reading a missing log fails with an error that contains its path", async t => {
    const lines = logLines.readLogLines("no-such-log.jsonl");
    await t.throwsAsync(lines[Symbol.asyncIterator]().next(), { message: /no-such-log\.jsonl/ });
});
