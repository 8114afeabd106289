import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as connectionPool from "./connectionPool.js";
import * as targetConnection from "./targetConnection.js";
import * as targetSender from "./targetSender.js";

/** All bytes that header values may have beyond ASCII. */
const obsText = Buffer.from(Array.from({ length: 0x80 }, (_, index) => 0x80 + index)).toString("latin1");

/** Creates an attempt whose connection is opened by the test. */
const createSetup = () => {
    const sent: targetConnection.ConnectionRequest[] = [];
    let released = 0;
    let open: ((connection: targetConnection.TargetConnection | undefined) => void) | undefined;
    const connection: Partial<targetConnection.TargetConnection> = {
        send: request => {
            sent.push(request);
            return new Promise(() => undefined);
        },
        dispose: () => undefined,
    };
    const pool: Partial<connectionPool.ConnectionPool> = {
        acquire: () => new Promise(resolve => (open = resolve)),
        release: () => void released++,
    };
    const sender = targetSender.createTargetSender({
        pool: pool as connectionPool.ConnectionPool,
        dialect: fixture.testDialect,
        scheduler: virtualScheduler.createVirtualScheduler(),
        handleHead: () => undefined,
    });
    const attempt = sender.start({
        registration: fixture.createRegistration("a"),
        request: { id: "r1", method: "POST", url: "/jobs/1", headers: ["x-text", obsText], body: Buffer.alloc(0) },
        getRemainingMs: () => 1_000,
        isIdempotent: false,
    });
    const openConnection = async (): Promise<void> => {
        open?.(connection as targetConnection.TargetConnection);
        await new Promise(resolve => setImmediate(resolve));
    };
    return {
        attempt,
        openConnection,
        countSent: () => sent.length,
        getSent: () => sent[0],
        countReleased: () => released,
    };
};

test("an attempt that is aborted while its connection opens sends nothing", async t => {
    const setup = createSetup();
    setup.attempt.abortIfUnsent();
    await setup.openConnection();
    t.is(setup.countSent(), 0);
    t.is(setup.countReleased(), 1);
    t.deepEqual(await setup.attempt.result, { kind: "withdrawn" });
});

test("an attempt that was already sent continues after abortIfUnsent", async t => {
    const setup = createSetup();
    await setup.openConnection();
    setup.attempt.abortIfUnsent();
    t.is(setup.countSent(), 1);
    t.is(setup.countReleased(), 0);
});

// Guards against header values that change between client and target.
test("bytes above 0x7f in header values are sent to targets unchanged", async t => {
    const setup = createSetup();
    await setup.openConnection();
    const bytes = Buffer.concat(setup.getSent()?.bytes ?? []);
    t.true(bytes.includes(Buffer.from(`x-text: ${obsText}\r\n`, "latin1")));
});
