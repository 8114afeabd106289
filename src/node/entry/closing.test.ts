import test from "ava";
import * as shared from "../../common/Types.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as closing from "./closing.js";

test("a component that fails to close or times out is logged, and the remaining ones are closed", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const warnedComponents: unknown[] = [];
    const logger: shared.Logger = {
        ...silentLogger.createSilentLogger(),
        warn: (_message, fields) => void warnedComponents.push(fields?.["part"]),
    };
    const closed: string[] = [];
    const components: closing.ClosableComponent[] = [
        { name: "stuck", close: () => new Promise(() => undefined) },
        { name: "failing", close: () => Promise.reject(new Error("closed already")) },
        { name: "quick", close: () => void closed.push("quick") },
    ];
    const done = closing.closeComponents(components, scheduler, logger);
    await scheduler.advance(closing.closeTimeoutMs);
    await done;
    t.deepEqual(warnedComponents, ["stuck", "failing"]);
    t.deepEqual(closed, ["quick"]);
});
