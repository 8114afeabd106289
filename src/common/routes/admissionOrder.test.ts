import test from "ava";
import * as admissionLoad from "../../testing/routes/admissionLoad.js";
import * as ids from "../ids.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as admissionDecision from "./admissionDecision.js";
import * as admissionQueue from "./admissionQueue.js";

const seed = 11;

const findLoad = (name: string): admissionLoad.Load => {
    const load = admissionLoad.loads.find(each => each.name.startsWith(name));
    if (load === undefined) {
        throw new Error(`no load ${name}`);
    }
    return load;
};

const runBoth = async (name: string) => ({
    arrival: await admissionLoad.runLoad(findLoad(name), "arrival", seed),
    fair: await admissionLoad.runLoad(findLoad(name), "fair", seed),
});

const computeServedShare = ({ served, requests }: admissionLoad.Tally): number => served / Math.max(1, requests);
const computeInTimeShare = ({ inTime, requests }: admissionLoad.Tally): number => inTime / Math.max(1, requests);

const getTally = (tallies: ReadonlyMap<string, admissionLoad.Tally>, name: string): admissionLoad.Tally => {
    const tally = tallies.get(name);
    if (tally === undefined) {
        throw new Error(`no tally ${name}`);
    }
    return tally;
};

/** Sums up all organisations but one. */
const sumOthers = (result: admissionLoad.LoadResult, excluded: string) => {
    const others = [...result.byOrganisation].filter(([name]) => name !== excluded).map(([, tally]) => tally);
    const sum = (read: (tally: admissionLoad.Tally) => number): number =>
        others.reduce((total, tally) => total + read(tally), 0);
    return {
        inTimeShare: sum(tally => tally.inTime) / sum(tally => tally.requests),
        refusedShare: sum(tally => tally.refusals) / sum(tally => tally.requests),
    };
};

// Guards against one organisation with 7.5 times its usual load that fills the slots of all others.
test("an organisation's surge is refused to itself, not to the others", async t => {
    const { arrival, fair } = await runBoth("surge");
    const surging = admissionLoad.surgingOrganisation;
    t.true(sumOthers(arrival, surging).refusedShare > 0.2, "the load must be an overload");
    t.true(sumOthers(fair, surging).refusedShare < 0.5 * sumOthers(arrival, surging).refusedShare);
    t.true(sumOthers(fair, surging).inTimeShare > sumOthers(arrival, surging).inTimeShare + 0.05);
    t.true(computeInTimeShare(fair.all) >= computeInTimeShare(arrival.all));
    const share = computeServedShare(getTally(fair.byOrganisation, surging));
    t.true(share > 0.25 * computeServedShare(fair.all));
});

// Guards against a burst of a less urgent kind that takes slots from the more urgent one.
test("a burst of 2.3 of a less urgent kind leaves the more urgent one as it is", async t => {
    const { arrival, fair } = await runBoth("less urgent burst");
    const urgent = getTally(fair.byKind, "archive-search");
    const burst = getTally(fair.byKind, "ledger-post");
    t.true(computeServedShare(urgent) > 0.99);
    t.true(computeInTimeShare(urgent) >= computeInTimeShare(getTally(arrival.byKind, "archive-search")) - 0.02);
    t.true(computeServedShare(burst) > 0.9);
});

// Guards against an overload in which long requests take the slots with which several short ones could be answered.
test("of two kinds with work of 219 and 87 ms, more are answered in time, and neither is starved", async t => {
    const { arrival, fair } = await runBoth("two kinds");
    t.true(computeInTimeShare(fair.all) > computeInTimeShare(arrival.all) + 0.05);
    for (const tally of fair.byKind.values()) {
        t.true(computeServedShare(tally) > 0.5 * computeServedShare(fair.all));
    }
});

// Guards against refusals by an estimate of which nothing is known yet, and against clients that all come back at once.
test("after a restart, when all clients come at once, more are served, and refused ones come back at different times", async t => {
    const { arrival, fair } = await runBoth("restart");
    t.true(computeServedShare(fair.all) > computeServedShare(arrival.all));
    t.true(new Set(fair.retryAfterMs.map(Math.round)).size > 50);
    t.true(Math.min(...fair.retryAfterMs) >= admissionDecision.minRetryAfterMs);
});

// Guards against a standing queue of refused clients that return, in which all are late.
test("with refused clients that return, refusals are early and more are answered in time", async t => {
    const { arrival, fair } = await runBoth("returning clients");
    t.true(computeInTimeShare(fair.all) > computeInTimeShare(arrival.all) + 0.03);
    t.true(fair.all.refusalWaitMs / fair.all.refusals < 0.125 * 605);
    for (const [organisation, tally] of fair.byOrganisation) {
        const isCounted = tally.requests >= 20;
        t.true(!isCounted || computeServedShare(tally) > 0.25 * computeServedShare(fair.all), organisation);
    }
});

// Guards against a change for deployments without organisations whose requests are equal.
test("without organisations and with equal requests, all ends are those of the order of arrival", async t => {
    const { arrival, fair } = await runBoth("equal requests");
    t.deepEqual(fair, arrival);
});

test("no load makes a target run more requests than it has slots", async t => {
    for (const load of admissionLoad.loads) {
        t.is((await admissionLoad.runLoad(load, "fair", seed)).maxRunning, 2);
    }
});

const createInputs = (fields: Partial<admissionDecision.AdmissionInputs> = {}): admissionDecision.AdmissionInputs => ({
    organisation: undefined,
    route: "jobs",
    objectiveMs: 400,
    objectiveLeftMs: 400,
    deadlineLeftMs: 2_000,
    workMs: 50,
    slowWorkMs: 75,
    ...fields,
});

// Guards against a less urgent priority that gets nothing while a more urgent one takes all slots for long.
test("a less urgent priority keeps a small share of the slots where organisations share a service", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const queue = admissionQueue.createAdmissionQueue<string>(scheduler);
    let free = 0;
    const served = new Map<number, number>();
    const wait = (priority: number): void => {
        const inputs = createInputs({ organisation: ids.toOrganisationName("o"), route: `r${String(priority)}` });
        const take = (): string | undefined => (free-- > 0 ? "slot" : undefined);
        void queue
            .wait({
                service: fixture.service,
                priority,
                maxWaitMs: 100,
                signal: new AbortController().signal,
                inputs,
                isFirstAttempt: true,
                take,
            })
            .then(value => value !== undefined && served.set(priority, (served.get(priority) ?? 0) + 1));
    };
    for (let turn = 0; turn < 300; turn++) {
        wait(0);
        wait(0);
        wait(1);
        free = 1;
        queue.dispatch(fixture.service);
        free = 0;
        await scheduler.advance(10);
    }
    // A third of all requests is served; a quarter of that is 25 of the 300 less urgent ones.
    t.true((served.get(1) ?? 0) >= 25, JSON.stringify([...served]));
    t.true((served.get(0) ?? 0) / 600 > (served.get(1) ?? 0) / 300);
});

// Guards against a refusal on an estimate from less time than one request takes: all slots may have been taken at once.
test("nothing is refused early before slots were observed for as long as a request takes", t => {
    const inputs = createInputs();
    const observed = { slots: 0, durationMs: 70, saturatedMs: 70 };
    t.false(admissionDecision.isInfeasible({ before: 1_000, observed }, inputs, 100));
    const longer = { slots: 0, durationMs: 300, saturatedMs: 300 };
    t.true(admissionDecision.isInfeasible({ before: 1_000, observed: longer }, inputs, 100));
});

// Guards against waits beyond the usual limit that end in a refusal.
test("a wait is extended only if a slot is certain before the objective is missed, and never in a standing queue", t => {
    const certain = { slots: 60, durationMs: 300, saturatedMs: 300 };
    const isExtended = (before: number, observed: typeof certain, fields = {}): boolean =>
        admissionDecision.computeExtensionMs({ before, observed }, createInputs(fields), 100) > 0;
    t.true(isExtended(5, certain));
    t.false(isExtended(50, certain));
    t.false(isExtended(5, { ...certain, slots: 3 }));
    t.false(isExtended(5, { ...certain, saturatedMs: 500 }));
    t.false(isExtended(5, certain, { workMs: 300 }));
    t.false(isExtended(5, certain, { deadlineLeftMs: 150 }));
});

// Guards against a request held for most of its time and then refused.
test("no wait can be useful beyond half of the objective", t => {
    t.is(admissionDecision.computeUsefulWaitMs(createInputs({ workMs: 1, slowWorkMs: 1 })), 200);
    t.is(admissionDecision.computeUsefulWaitMs(createInputs({ objectiveLeftMs: 250 })), 50);
});

// Guards against Retry-After times beyond those that clients honour.
test("clients are told to come back within a third of the time they have left", t => {
    const observed = { slots: 1, durationMs: 1_000, saturatedMs: 1_000 };
    const random = { nextFloat: () => 0.9, nextInt: () => 0 };
    const compute = (deadlineLeftMs: number): number =>
        admissionDecision.computeRetryAfterMs({ before: 50, observed }, createInputs({ deadlineLeftMs }), 0, random);
    t.is(Math.round(compute(1_500)), 500);
    t.is(compute(200), admissionDecision.minRetryAfterMs);
});

// Guards against a repeat that may have run and is refused, or held longer, by an estimate.
test("a repeat waits for its usual time", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const queue = admissionQueue.createAdmissionQueue<string>(scheduler);
    const refusals: admissionQueue.Refusal[] = [];
    const ends: number[] = [];
    for (const objectiveMs of [400, 800]) {
        void queue
            .wait({
                service: fixture.service,
                priority: 1,
                maxWaitMs: 100,
                signal: new AbortController().signal,
                inputs: createInputs({ objectiveMs }),
                isFirstAttempt: false,
                take: () => undefined,
                handleRefusal: refusal => refusals.push(refusal),
            })
            .then(() => ends.push(scheduler.now()));
    }
    await scheduler.advance(1_000);
    t.deepEqual(ends, [100, 100]);
    t.deepEqual(
        refusals.map(({ reason }) => reason),
        ["waited", "waited"],
    );
});
