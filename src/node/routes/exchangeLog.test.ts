import test from "ava";
import * as shared from "../../common/Types.js";
import * as exchangeFixture from "../../testing/routes/exchangeFixture.js";

const { broken, createResponse, noResponse, ok, run, unreachable } = exchangeFixture;
const nonIdempotent = { kind: "non-idempotent" } as const;

/** Runs a request that may run only once; returns the lines of its attempts. */
const listAttemptLines = async (steps: readonly exchangeFixture.Step[]): Promise<readonly shared.LogFields[]> => {
    const { advance, logged } = run(steps, { route: nonIdempotent });
    await advance(2_000);
    return logged.filter(({ message }) => message === "exchange: attempt ended");
};

// Guards against refusals whose log does not tell a copy of the first one, on the same connection, from a second one.
test("the lines of refused attempts name the status, the address, the connection and the target that responded", async t => {
    const refuse = (carriedRequests: number): exchangeFixture.Step => ({
        afterMs: 5,
        result: createResponse({
            status: 421,
            isSigned: false,
            isRefusal: true,
            responder: "other",
            connection: { number: 7, carriedRequests },
        }),
    });
    const lines = await listAttemptLines([refuse(3), refuse(4)]);
    const expected = { end: "refused", status: 421, address: "127.0.0.1:1", connection: 7, responder: "other" };
    t.is(lines.length, 2);
    t.like(lines[0], { ...expected, carried: 3, refusals: 1 });
    t.like(lines[1], { ...expected, carried: 4, refusals: 2 });
});

test("the lines of failed and answered attempts name the same, a broken connection without a status", async t => {
    const common = { address: "127.0.0.1:1", connection: 1, carried: 0, responder: undefined };
    const failed = { afterMs: 5, result: createResponse({ status: 500 }) };
    t.like((await listAttemptLines([failed]))[0], { ...common, end: "failed", status: 500 });
    t.like((await listAttemptLines([broken]))[0], { ...common, end: "failed", status: undefined });
    t.like((await listAttemptLines([ok(5)]))[0], { ...common, end: "answered", status: 200 });
});

test("the lines of attempts without a response name the address only", async t => {
    for (const [step, end] of [
        [unreachable, "unreachable"],
        [noResponse, "silent"],
    ] as const) {
        const [line = {}] = await listAttemptLines([step]);
        t.like(line, { end, address: "127.0.0.1:1" });
        t.false("connection" in line || "status" in line);
    }
});
