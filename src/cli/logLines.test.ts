import test from "ava";
import * as logLines from "./logLines.js";

test("a log that cannot be read is an error that names it", async t => {
    const lines = logLines.readLogLines("no-such-log.jsonl");
    await t.throwsAsync(lines[Symbol.asyncIterator]().next(), { message: /no-such-log\.jsonl/ });
});
