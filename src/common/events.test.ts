import test from "ava";
import * as events from "./events.js";

test("a disposed listener is not called again", t => {
    const emitter = events.createEmitter<number>();
    const seen: number[] = [];
    const subscription = emitter.event(value => seen.push(value));
    emitter.fire(1);
    subscription.dispose();
    emitter.fire(2);
    t.deepEqual(seen, [1]);
});

test("a store ends its lifetimes once, in reverse order", t => {
    const store = events.createDisposableStore();
    const seen: string[] = [];
    store.add(events.toDisposable(() => seen.push("first")));
    store.add(events.toDisposable(() => seen.push("second")));
    store.dispose();
    store.dispose();
    t.deepEqual(seen, ["second", "first"]);
});
