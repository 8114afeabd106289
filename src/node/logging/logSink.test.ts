import test from "ava";
import * as logSink from "./logSink.js";

test("disposing a sink writes all buffered lines in order", t => {
    let text = "";
    const sink = logSink.createLogSink({ level: "info", format: "json", write: chunk => (text += chunk) });
    sink.logger.debug("route: hidden");
    sink.logger.info("route: first", { call: "c1" });
    sink.logger.warn("route: second");
    t.is(text, "");
    sink.dispose();
    const lines = text
        .trim()
        .split("\n")
        .map(line => JSON.parse(line) as Record<string, unknown>);
    t.deepEqual(
        lines.map(line => [line["part"], line["level"], line["message"], line["call"]]),
        [
            ["route", "info", "first", "c1"],
            ["route", "warn", "second", undefined],
        ],
    );
});

test("a text line contains the prefix of its component", t => {
    let text = "";
    const sink = logSink.createLogSink({ level: "info", format: "text", write: chunk => (text += chunk) });
    sink.logger.warn("life: leaving", { calls: 2 });
    sink.dispose();
    t.regex(text, /^\S+ warn: life: leaving calls=2\n$/);
});

test("lines beyond the rate limit are dropped and counted, and warnings are kept", t => {
    let text = "";
    const write = (chunk: string): void => void (text += chunk);
    const sink = logSink.createLogSink({ level: "info", format: "text", maxInfoPerSecond: 2, write });
    for (let count = 0; count < 50; count++) {
        sink.logger.info("route: picked");
        sink.logger.warn("route: failed");
    }
    sink.dispose();
    t.is(text.match(/failed/g)?.length, 50);
    // The loop may run across the boundary of two seconds.
    t.true((text.match(/picked/g)?.length ?? 0) <= 4);
});

test("warnings have their own rate limit, which other lines do not use up", t => {
    let text = "";
    const write = (chunk: string): void => void (text += chunk);
    const bounds = { maxInfoPerSecond: 2, maxWarningsPerSecond: 5 };
    const sink = logSink.createLogSink({ level: "info", format: "text", write, ...bounds });
    for (let count = 0; count < 50; count++) {
        sink.logger.info("route: picked");
        sink.logger.warn("route: failed");
    }
    sink.dispose();
    const failed = text.match(/failed/g)?.length ?? 0;
    const picked = text.match(/picked/g)?.length ?? 0;
    // The loop may run across the boundary of two seconds.
    t.true(failed >= 5 && failed <= 10);
    t.is(sink.countDroppedLines(), 100 - failed - picked);
});

// Guards against a caller whose long request id or URL is written in full with each line about its request.
test("long texts are cut in lines of both formats", t => {
    for (const format of ["text", "json"] as const) {
        let written = "";
        const sink = logSink.createLogSink({ level: "info", format, write: text => (written += text) });
        sink.logger.info("exchange: x", { request: "r".repeat(60_000), status: 200 });
        sink.dispose();
        t.true(written.length < 1_200, `${format}: ${written.length}`);
        t.regex(written, /status"?[=:]200/);
    }
});
