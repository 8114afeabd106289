import test from "ava";
import * as silentLogger from "../../testing/silentLogger.js";
import * as systemScheduler from "../systemScheduler.js";
import * as loopDelay from "./loopDelay.js";

const block = (durationMs: number): void => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
};

// Guards against a process that is busy for long and shows nothing of it.
test("the longest delay of a timer since the last reading is known", async t => {
    const delay = loopDelay.createLoopDelay(silentLogger.createSilentLogger());
    const scheduler = systemScheduler.createSystemScheduler({ keepAlive: true, handleRun: delay.recordRun });
    const wait = (delayMs: number): Promise<void> => new Promise(resolve => void scheduler.schedule(delayMs, resolve));
    const waiting = wait(10);
    block(150);
    await waiting;
    await wait(1);
    t.true(delay.takeMaxMs() >= 139);
    t.is(delay.takeMaxMs(), 0);
});
