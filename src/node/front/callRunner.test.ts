import test from "ava";
import * as ids from "../../common/ids.js";
import * as routing from "../../common/routing/Types.js";
import * as callRunner from "./callRunner.js";
import * as types from "./Types.js";

const call = {
    head: { id: ids.toCallId("call-1"), hop: { kind: "caller" }, service: ids.toServiceName("bookings") },
    body: { prefix: Buffer.alloc(0), rest: undefined, length: 0 },
    isIdempotent: true,
    deadlineAtMs: 1000,
} as unknown as types.Call;

const grants = [
    { kind: "local", target: { id: ids.toTargetId("bookings-1") } },
    { kind: "remote", cell: "bookings/zone-b", member: { info: { vm: ids.toVmId("entry-2") } } },
] as unknown as routing.SlotGrant[];

// Guards against reporting "not run" when an earlier attempt may have run the call (G2).
test("a call stays mayHaveRun if a peer did not run it but an earlier attempt may have run it", async t => {
    let attempts = 0;
    const runner = callRunner.createCallRunner({
        dispatcher: { acquire: () => Promise.resolve(grants[attempts++]) } as unknown as routing.Dispatcher,
        targetForwarder: { send: () => Promise.resolve({ kind: "unknown", error: "outcome_unknown" }) },
        peerForwarder: {
            send: () => Promise.resolve({ kind: "finished", result: { kind: "notRun", error: "target_refused" } }),
        },
        retryBudget: { recordCall: () => undefined, takeRetry: () => true },
        crashes: {
            isEmpty: () => true,
            isBlocked: () => false,
            recordCrash: () => Promise.resolve(),
            recordSuccess: () => undefined,
        },
        traces: { record: () => undefined, find: () => undefined },
        computeFingerprint: () => "",
        unsafe: new Set(),
    });
    const result = await runner.run(call, {} as types.ResponseWriter, new AbortController().signal);
    t.is(attempts, 2);
    t.deepEqual(result, { kind: "mayHaveRun", error: "outcome_unknown" });
});
