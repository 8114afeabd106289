import test from "ava";
import * as shared from "../../common/Types.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as closing from "./closing.js";

test("a part that does not close, or fails to, is logged and the next ones are closed", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const warned: unknown[] = [];
    const logger: shared.Logger = {
        ...silentLogger.createSilentLogger(),
        warn: (_message, fields) => void warned.push(fields?.["part"]),
    };
    const closed: string[] = [];
    const steps: closing.ClosingStep[] = [
        { name: "stuck", close: () => new Promise(() => undefined) },
        { name: "failing", close: () => Promise.reject(new Error("closed already")) },
        { name: "quick", close: () => void closed.push("quick") },
    ];
    const done = closing.closeParts(steps, scheduler, logger);
    await scheduler.advance(closing.closeTimeoutMs);
    await done;
    t.deepEqual(warned, ["stuck", "failing"]);
    t.deepEqual(closed, ["quick"]);
});
