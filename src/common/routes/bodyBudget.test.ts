import test from "ava";
import * as fc from "fast-check";
import * as bodyBudget from "./bodyBudget.js";

const mebibyte = 1024 * 1024;
const maxBodyBytes = 64 * mebibyte;
const checkIntervalMs = 100;

/** A body as a test sees it. */
interface TestBody {
    readonly hold: bodyBudget.BodyHold;
    /** What the budget has told of it, in order. */
    readonly events: string[];
    request(bytes: number): void;
}

const startBudget = (options: { readonly memoryMb?: number; readonly maxBytes?: number } = {}) => {
    let nowMs = 0;
    const { memoryMb = 250, maxBytes = maxBodyBytes } = options;
    const budget = bodyBudget.createBodyBudget({
        clock: { now: () => nowMs },
        memoryBytes: memoryMb * mebibyte,
        getMaxBodyBytes: () => maxBytes,
        getLongestTimeoutMs: () => 8_000,
    });
    const begin = (bytes?: number): TestBody => {
        const events: string[] = [];
        const hold = budget.begin({
            handleGrant: () => events.push("granted"),
            handleRefusal: refusal => {
                events.push(refusal);
                hold.release();
            },
        });
        const request = (wanted: number): void => {
            if (hold.request(wanted)) {
                events.push("granted");
            }
        };
        if (bytes !== undefined) {
            request(bytes);
        }
        return { hold, events, request };
    };
    /** Lets time pass; `act` runs before each check. */
    const pass = (durationMs: number, act: (atMs: number) => void = () => undefined): void => {
        for (const endMs = nowMs + durationMs; nowMs < endMs;) {
            nowMs += checkIntervalMs;
            act(nowMs);
            budget.check();
        }
    };
    return { budget, begin, pass, freeze: (durationMs: number) => (nowMs += durationMs) };
};

// Guards against a budget below the largest legal body, which would then be refused for ever.
test("one body of the largest size fits on every VM, also one of unknown length", t => {
    for (const memoryMb of [64, 250, 350, 602]) {
        const { begin } = startBudget({ memoryMb });
        const announced = begin(maxBodyBytes);
        t.deepEqual(announced.events, ["granted"]);
        announced.hold.release();
        const chunked = begin(bodyBudget.smallBodyBytes);
        for (let bytes = 2 * bodyBudget.smallBodyBytes; bytes <= maxBodyBytes; bytes *= 2) {
            chunked.request(bytes);
        }
        t.true(chunked.events.every(event => event === "granted"));
    }
});

// Guards against the sum of all bodies outgrowing the memory, whatever the order of events.
test("the bytes in use never exceed the budget, and all come back", t => {
    const steps = fc.array(fc.tuple(fc.nat(3), fc.nat(20), fc.nat(maxBodyBytes)), { maxLength: 200 });
    fc.assert(
        fc.property(steps, list => {
            const { budget, begin, pass } = startBudget();
            const pools = bodyBudget.computePools(250 * mebibyte, maxBodyBytes);
            // A body that begins to wait in the other pool keeps its first bytes, so that a pool may hold these beyond its size.
            const allowed = pools.small + pools.large + 20 * bodyBudget.smallBodyBytes;
            const bodies: TestBody[] = [];
            for (const [kind, index, bytes] of list) {
                const body = bodies[index % Math.max(1, bodies.length)];
                if (kind === 0 || body === undefined) {
                    bodies.push(begin(bytes));
                } else if (kind === 1) {
                    body.hold.release();
                    bodies.splice(bodies.indexOf(body), 1);
                } else if (kind === 2) {
                    body.hold.recordReceived(bytes);
                } else {
                    pass(300);
                }
                if (budget.countReservedBytes() > allowed) {
                    return false;
                }
            }
            bodies.forEach(body => body.hold.release());
            return budget.countReservedBytes() === 0 && budget.countWaiting() === 0;
        }),
    );
    t.pass();
});

// Guards against holders of unfinished bodies that keep all others waiting until these are refused.
test("a body that stops is refused once another one waits, which then gets its bytes", t => {
    const { begin, pass } = startBudget();
    const stopped = begin(maxBodyBytes);
    stopped.hold.recordReceived(60 * mebibyte);
    pass(3_000);
    t.deepEqual(stopped.events, ["granted"], "nobody waits");
    const next = begin(maxBodyBytes);
    pass(200);
    t.deepEqual(stopped.events, ["granted", "no-progress"]);
    t.deepEqual(next.events, ["granted"]);
});

// Guards against an upload that is refused for the slowness of its link, or for a pause of the process itself.
test("a body that makes progress is not refused while another one waits, nor after the process stood still", t => {
    const { begin, pass, freeze } = startBudget();
    const slow = begin(maxBodyBytes);
    let received = 0;
    const receive = (): void => slow.hold.recordReceived((received += 1_000));
    pass(1_500, receive);
    const next = begin(maxBodyBytes);
    pass(1_000, receive);
    freeze(1_200);
    pass(500, receive);
    t.deepEqual(slow.events, ["granted"]);
    t.deepEqual(next.events, ["no-room"]);
});

// Guards against a body that trickles for ever, and against holding one that its client can no longer use.
test("a body that takes longer than any route allows is refused, also if nobody waits; a whole one is not", t => {
    const { begin, pass } = startBudget();
    const slow = begin(1_000);
    const whole = begin(1_000);
    whole.hold.recordWhole();
    pass(8_000);
    t.deepEqual(slow.events, ["granted", "too-slow"]);
    t.deepEqual(whole.events, ["granted"]);
});

// Guards against small requests that wait behind large ones.
test("small bodies get their bytes while large ones wait", t => {
    const { begin } = startBudget();
    begin(maxBodyBytes);
    const large = begin(maxBodyBytes);
    const small = begin(30_000);
    const empty = begin(0);
    t.deepEqual([large.events, small.events, empty.events], [[], ["granted"], ["granted"]]);
});

// Guards against bodies of unknown length that all wait for each other.
test("of bodies that wait for each other's bytes, the oldest gets them and the youngest is refused", t => {
    const { begin } = startBudget();
    const bodies = [0, 1, 2, 3].map(() => begin(16 * mebibyte));
    bodies.forEach(body => body.request(32 * mebibyte));
    t.deepEqual(bodies[0]?.events, ["granted", "granted"]);
    t.deepEqual(bodies.at(-1)?.events, ["granted", "no-room"]);
    t.true(bodies.slice(1, -1).every(body => !body.events.includes("no-progress")));
});

// Guards against waiting connections that take the memory themselves, as each keeps bytes in its socket.
test("the number of bodies that wait is bounded; the others are refused at once", t => {
    const { budget, begin } = startBudget();
    begin(maxBodyBytes);
    const waiting = Array.from({ length: 1_000 }, () => begin(maxBodyBytes));
    t.true(budget.countWaiting() < 100);
    t.deepEqual(waiting[0]?.events, []);
    t.deepEqual(waiting.at(-1)?.events, ["no-room"]);
});

// Guards against a body that waits longer than its client, who could have gone elsewhere.
test("a body that waits for two seconds is refused", t => {
    const { begin, pass } = startBudget();
    const busy = begin(maxBodyBytes);
    busy.hold.recordWhole();
    const next = begin(maxBodyBytes);
    pass(1_900);
    t.deepEqual(next.events, []);
    pass(100);
    t.deepEqual(next.events, ["no-room"]);
});
