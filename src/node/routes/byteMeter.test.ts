import * as events from "node:events";
import test from "ava";
import * as ids from "../../common/ids.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as byteMeter from "./byteMeter.js";

class FakeSocket extends events.EventEmitter {
    bytesRead = 0;
    bytesWritten = 0;
}

const createMeter = () => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const lines: object[] = [];
    const logger = {
        ...silentLogger.createSilentLogger(),
        info: (_message: string, fields?: object) => void lines.push(fields ?? {}),
    };
    return { scheduler, lines, meter: byteMeter.createByteMeter({ zone: fixture.zone, scheduler, logger }) };
};

// Guards against bytes that are lost or counted twice when a connection closes between two readings.
test("bytes are counted once, by kind, direction and whether they cross zones", async t => {
    const { meter, scheduler, lines } = createMeter();
    const [near, far] = [new FakeSocket(), new FakeSocket()];
    meter.watch(near, "target", () => fixture.zone);
    meter.watch(far, "target", () => fixture.otherZone);
    near.bytesRead = 10;
    far.bytesWritten = 20;
    t.deepEqual(meter.list(), [
        { kind: "target", direction: "in", zones: "same", bytes: 10 },
        { kind: "target", direction: "out", zones: "other", bytes: 20 },
    ]);
    near.bytesRead = 15;
    near.emit("close");
    await scheduler.advance(5_000);
    t.is(meter.list()[0]?.bytes, 15);
    far.bytesWritten = 24;
    await scheduler.advance(5_000);
    t.deepEqual(lines, [
        { periodMs: 5_000, "target-in-same": 15, "target-out-other": 20 },
        { periodMs: 5_000, "target-out-other": 4 },
    ]);
    // A period without bytes writes no line.
    await scheduler.advance(5_000);
    t.is(lines.length, 2);
});

test("connections to targets and to VMs that requests are passed on to are told apart by their address", t => {
    const { meter } = createMeter();
    const target = fixture.createRegistration("t1", { zone: fixture.otherZone });
    const peer = fixture.createPeer("vm-b", { frontAddress: ids.toAddress("127.0.0.1:9") });
    const watch = byteMeter.createAddressWatcher(meter, { listTargets: () => [target], listPeers: () => [peer] });
    for (const address of [target.address, peer.frontAddress, ids.toAddress("127.0.0.1:10")]) {
        const socket = new FakeSocket();
        watch(socket, address);
        socket.bytesWritten = 1;
    }
    t.deepEqual(
        meter.list().map(({ kind, zones }) => `${kind} ${zones}`),
        ["target other", "vm same", "target unknown"],
    );
});
