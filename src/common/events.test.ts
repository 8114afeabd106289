import test from "ava";
import * as events from "./events.js";

test("a listener is not called after its subscription is disposed", t => {
    const emitter = events.createEmitter<number>();
    const received: number[] = [];
    const subscription = emitter.event(value => received.push(value));
    emitter.fire(1);
    subscription.dispose();
    emitter.fire(2);
    t.deepEqual(received, [1]);
});

test("a store disposes its items once, in reverse order", t => {
    const store = events.createDisposableStore();
    const disposed: string[] = [];
    store.add(events.toDisposable(() => disposed.push("first")));
    store.add(events.toDisposable(() => disposed.push("second")));
    store.dispose();
    store.dispose();
    t.deepEqual(disposed, ["second", "first"]);
});
