import test from "ava";
import * as fc from "fast-check";
import * as fixture from "../../testing/routes/fixture.js";
import * as ids from "../ids.js";
import * as shared from "../Types.js";
import * as ownedRates from "./ownedRates.js";

const key = "t1";
const other = ids.toVmId("vm-b");
const tickMs = 50;

const createSetup = (view: ownedRates.RateView, minPerOwner = Infinity) => {
    let nowMs = 10_000;
    let current = view;
    const rates = ownedRates.createOwnedRates({
        clock: { now: () => nowMs },
        vm: fixture.vm,
        minPerOwner,
        getView: () => current,
    });
    /** Runs for a time, and uses the key whenever that is allowed; returns the number of uses. */
    const run = (durationMs: number, perSecond: number): number => {
        let used = 0;
        for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += tickMs) {
            rates.refresh();
            while (rates.computeWaitMs(key, perSecond) === 0) {
                rates.take(key, perSecond);
                used++;
            }
        }
        return used;
    };
    run(2_000, 0);
    return {
        rates,
        run,
        setView: (next: ownedRates.RateView) => void (current = next),
        pause: (ms: number) => void (nowMs += ms),
    };
};

const alone: ownedRates.RateView = { owners: [fixture.vm], share: 1 };
const otherOnly: ownedRates.RateView = { owners: [other], share: 1 };

test("the owner uses the rate, and no more", t => {
    const { run } = createSetup(alone);
    const used = run(10_000, 2.5);
    t.true(used >= 24 && used <= 26, String(used));
});

test("a rate below one per second is used once per interval; a rate of 0 never", t => {
    t.is(createSetup(alone).run(25_000, 0.1), 2);
    const { rates, run } = createSetup(alone);
    t.is(run(60_000, 0), 0);
    t.is(rates.computeWaitMs(key, 0), Infinity);
});

test("another VM than the owner uses none of it", t => {
    const { rates, run } = createSetup(otherOnly);
    t.is(run(10_000, 100), 0);
    t.is(rates.computeWaitMs(key, 100), Infinity);
});

test("a minority of the VMs uses only its share", t => {
    const used = createSetup({ owners: [fixture.vm], share: 0.25 }).run(20_000, 2);
    t.true(used >= 9 && used <= 11, String(used));
});

test("a new owner starts after the views of all VMs have settled", t => {
    const { run, setView } = createSetup(otherOnly);
    setView(alone);
    t.is(run(1_000, 100), 0);
    t.true(run(1_000, 100) > 50);
});

test("an owner that was paused starts anew", t => {
    const { run, pause } = createSetup(alone);
    t.true(run(2_000, 100) > 100);
    pause(3_000);
    t.is(run(900, 100), 0);
});

test("a rate is shared by as many owners as can each use the least part", t => {
    const vms = Array.from({ length: 20 }, (_, index) => ids.toVmId(`vm-${index}`));
    const countOwners = (perSecond: number): number =>
        vms.filter(vm => {
            let nowMs = 0;
            const getView = () => ({ owners: vms, share: 1 });
            const rates = ownedRates.createOwnedRates({ clock: { now: () => nowMs }, vm, minPerOwner: 2, getView });
            nowMs = tickMs;
            return rates.isOwner(key, perSecond);
        }).length;
    t.deepEqual([0.5, 2, 20, 1_000].map(countOwners), [1, 1, 10, 20]);
});

/** Changes of the owners, each seen by the VMs after different delays, and pauses of single VMs. */
const arbitraryEvents = fc.array(
    fc.record({
        atMs: fc.integer({ min: 2_000, max: 18_000 }),
        owners: fc.uniqueArray(fc.integer({ min: 0, max: 4 }), { minLength: 1, maxLength: 5 }),
        delaysMs: fc.array(fc.integer({ min: 0, max: 800 }), { minLength: 5, maxLength: 5 }),
        paused: fc.option(fc.integer({ min: 0, max: 4 })),
        pauseMs: fc.integer({ min: 1_000, max: 4_000 }),
    }),
    { maxLength: 8 },
);

test("all VMs together stay within one and a half times the rate and 5, over changes of the owners and pauses", t => {
    const vms = [0, 1, 2, 3, 4].map(index => ids.toVmId(`vm-${index}`));
    const windowMs = 4_000;
    const check = (
        events: Parameters<Parameters<typeof arbitraryEvents.map>[0]>[0],
        perSecond: number,
        minPerOwner: number,
    ): boolean => {
        let nowMs = 0;
        const usedAtMs: number[] = [];
        const findView = (index: number): ownedRates.RateView => {
            const seen = events.filter(event => event.atMs + (event.delaysMs[index] ?? 0) <= nowMs);
            const latest = seen.sort((left, right) => left.atMs - right.atMs).at(-1);
            const owners = (latest?.owners ?? [0]).map(owner => vms[owner] as shared.VmId);
            return { owners, share: 1 };
        };
        const isPaused = (index: number): boolean =>
            events.some(({ atMs, paused, pauseMs }) => paused === index && nowMs >= atMs && nowMs < atMs + pauseMs);
        const all = vms.map((vm, index) =>
            ownedRates.createOwnedRates({
                clock: { now: () => nowMs },
                vm,
                minPerOwner,
                getView: () => findView(index),
            }),
        );
        for (nowMs = 0; nowMs < 20_000; nowMs += tickMs) {
            for (const [index, rates] of all.entries()) {
                while (!isPaused(index) && rates.computeWaitMs(key, perSecond) === 0) {
                    rates.take(key, perSecond);
                    usedAtMs.push(nowMs);
                }
            }
        }
        const allowed = (1.5 * perSecond * windowMs) / 1_000 + 5;
        return usedAtMs.every(
            fromMs => usedAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length <= allowed,
        );
    };
    t.notThrows(() =>
        fc.assert(
            fc.property(
                arbitraryEvents,
                fc.constantFrom(0.3, 1.8, 10, 60),
                fc.constantFrom(Infinity, 2),
                (events, perSecond, minPerOwner) => check(events, perSecond, minPerOwner),
            ),
            { seed: 25, numRuns: 300 },
        ),
    );
});
