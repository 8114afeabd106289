import test from "ava";
import * as logSink from "./logSink.js";

test("a disposed sink has written every line, in order", t => {
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

test("a text line carries the prefix of its part", t => {
    let text = "";
    const sink = logSink.createLogSink({ level: "info", format: "text", write: chunk => (text += chunk) });
    sink.logger.warn("life: leaving", { calls: 2 });
    sink.dispose();
    t.regex(text, /^\S+ warn: life: leaving calls=2\n$/);
});

test("lines beyond the rate are dropped and counted, warnings are kept", t => {
    let text = "";
    const write = (chunk: string): void => void (text += chunk);
    const sink = logSink.createLogSink({ level: "info", format: "text", maxInfoPerSecond: 2, write });
    for (let count = 0; count < 50; count++) {
        sink.logger.info("route: picked");
        sink.logger.warn("route: failed");
    }
    sink.dispose();
    t.is(text.match(/failed/g)?.length, 50);
    // The loop may cross from one second into the next.
    t.true((text.match(/picked/g)?.length ?? 0) <= 4);
});

test("warnings have a bound of their own, which other lines do not use up", t => {
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
    // The loop may cross from one second into the next.
    t.true(failed >= 5 && failed <= 10);
    t.is(sink.countDropped(), 100 - failed - picked);
});
