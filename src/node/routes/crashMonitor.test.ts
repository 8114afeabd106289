import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as crashMonitor from "./crashMonitor.js";
import * as metrics from "./metrics.js";

const createSetup = () => {
    const time = { nowMs: 0 };
    const ends: metrics.CrashEnd[] = [];
    const ended = new Set<string>();
    let isConfirmed = true;
    let checks = 0;
    let release = (): void => undefined;
    const monitor = crashMonitor.createCrashMonitor({
        clock: { now: () => time.nowMs },
        logger: silentLogger.createSilentLogger(),
        connectivity: {
            reach: { confirm: () => new Promise(resolve => (release = () => resolve(isConfirmed))) },
            hasEnded: ({ id }) => {
                checks++;
                return Promise.resolve(ended.has(id));
            },
        },
        metrics: { recordCrash: end => void ends.push(end) },
    });
    const advance = (ms: number): void => void (time.nowMs += ms);
    const lose = async (...ids: readonly string[]): Promise<void> => {
        for (const id of ids) {
            const losses = [1, 2].map(() => monitor.recordLoss("f", fixture.createRegistration(id)));
            release();
            await Promise.all(losses);
        }
    };
    return {
        monitor,
        ends,
        ended,
        lose,
        advance,
        setConfirmed: (next: boolean) => void (isConfirmed = next),
        countChecks: () => checks,
    };
};

test("equal requests that are lost together at a target count once, and cost one check", async t => {
    const { monitor, ended, lose, countChecks } = createSetup();
    ["a", "b", "c"].forEach(id => ended.add(id));
    await lose("a", "b");
    t.false(monitor.isBlocked("f"));
    await lose("c");
    t.true(monitor.isBlocked("f"));
    t.is(countChecks(), 3);
});

// Guards against harmless requests that are refused, as targets reset connections, are too slow, or are cut off.
test("requests lost at targets that live, or in a partition of this VM, count nothing", async t => {
    const { monitor, ended, ends, lose, setConfirmed } = createSetup();
    await lose("a", "b", "c", "d");
    setConfirmed(false);
    ["e", "f", "g"].forEach(id => ended.add(id));
    await lose("e", "f", "g");
    t.deepEqual([...new Set(ends)], ["alive", "unconfirmed"]);
    t.is(monitor.listReports().length, 0);
});

// Guards against a request that still comes after a minute and may crash targets again each minute.
test("a request that has crashed targets is refused for ten minutes", async t => {
    const { monitor, ended, lose, advance } = createSetup();
    ["a", "b", "c"].forEach(id => ended.add(id));
    await lose("a", "b", "c");
    advance(599_000);
    t.true(monitor.isBlocked("f"));
    advance(1_000);
    t.false(monitor.isBlocked("f"));
});
