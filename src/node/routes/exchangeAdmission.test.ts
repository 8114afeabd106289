import test from "ava";
import * as ids from "../../common/ids.js";
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as exchangeAdmission from "./exchangeAdmission.js";
import * as exchangeTiming from "./exchangeTiming.js";

const organisation = ids.toOrganisationName("o1");

/** Waits for a slot of targets that give one to every request, or to none. */
const wait = (result: targetPool.PickResult) => {
    const scheduler = virtualScheduler.createVirtualScheduler(1_000);
    const queue = admissionQueue.createAdmissionQueue<targetPool.PickResult>(scheduler);
    queue.setOrganisations([{ name: organisation, keys: [], priority: 3, perSecond: 5, burst: 5 }]);
    const waits: unknown[] = [];
    let end: exchangeAdmission.SlotWaitEnd | undefined;
    void exchangeAdmission
        .waitForSlot({
            options: {
                scheduler,
                queue,
                targets: { computeWork: () => ({ typicalMs: 87, slowMs: 130 }) },
                metrics: { recordWait: (...fields) => void waits.push(fields) },
            },
            request: { route: fixture.createRoute(), service: fixture.service, organisation },
            timing: exchangeTiming.createExchangeTiming({ clock: scheduler, objectiveMs: 300, deadlineAtMs: 2_000 }),
            isFirstAttempt: true,
            signal: new AbortController().signal,
            pick: () => result,
        })
        .then(ended => (end = ended));
    return { advance: scheduler.advance, getEnd: () => end, waits };
};

// Guards against refusals whose cause the log does not tell.
test("a refusal tells the organisation, its priority, wait, expected work, time left and reason", async t => {
    const { advance, getEnd, waits } = wait({ kind: "full" });
    await advance(1_000);
    t.like(getEnd()?.fields, {
        organisation,
        priority: 3,
        waitedMs: 75,
        workMs: 87,
        leftMs: 925,
        refusal: "waited",
        before: 0,
    });
    t.is(getEnd()?.pick, undefined);
    t.true((getEnd()?.retryAfterMs ?? 0) >= 100);
    t.deepEqual(waits, [[3, "waited", 75]]);
});

// Guards against limits of targets that count as slots that became free.
test("a request that the targets' limits refuse is counted as limited", async t => {
    const { advance, getEnd, waits } = wait({ kind: "limited", waitMs: Infinity, retryAfterMs: 5_000 });
    await advance(10);
    t.is(getEnd()?.pick?.kind, "limited");
    t.deepEqual(waits, [[3, "limited", 0]]);
});
