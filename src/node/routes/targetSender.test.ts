import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as connectionPool from "./connectionPool.js";
import * as targetConnection from "./targetConnection.js";
import * as targetSender from "./targetSender.js";

/** A sender whose connections are opened by the test. */
const createWorld = () => {
    let sent = 0;
    let released = 0;
    let open: ((connection: targetConnection.TargetConnection | undefined) => void) | undefined;
    const connection: Partial<targetConnection.TargetConnection> = {
        send: () => {
            sent++;
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
    });
    const attempt = sender.start({
        registration: fixture.createRegistration("a"),
        request: { id: "r1", method: "POST", url: "/jobs/1", headers: [], body: Buffer.alloc(0) },
        leftMs: () => 1_000,
        mayRepeat: false,
    });
    const openConnection = async (): Promise<void> => {
        open?.(connection as targetConnection.TargetConnection);
        await new Promise(resolve => setImmediate(resolve));
    };
    return { attempt, openConnection, countSent: () => sent, countReleased: () => released };
};

test("an attempt that is withdrawn while its connection opens sends nothing", async t => {
    const world = createWorld();
    world.attempt.withdraw();
    await world.openConnection();
    t.is(world.countSent(), 0);
    t.is(world.countReleased(), 1);
    t.deepEqual(await world.attempt.result, { kind: "withdrawn" });
});

test("an attempt that was sent goes on when it is withdrawn", async t => {
    const world = createWorld();
    await world.openConnection();
    world.attempt.withdraw();
    t.is(world.countSent(), 1);
    t.is(world.countReleased(), 0);
});
