import test from "ava";
import * as fc from "fast-check";
import * as fairQueue from "./fairQueue.js";

interface Item extends fairQueue.FairItem {
    readonly id: number;
}

const createItem = (id: number, flow: string, fields: Partial<Item> = {}): Item => ({
    id,
    flow,
    weight: 1,
    workMs: 10,
    dueAtMs: 0,
    ...fields,
});

const listIds = (items: Iterable<Item>): readonly number[] => [...items].map(({ id }) => id).sort((a, b) => a - b);

const takeAll = (queue: fairQueue.FairQueue<Item>, count = Infinity): readonly Item[] => {
    const taken: Item[] = [];
    for (let first = queue.getFirst(); first !== undefined && taken.length < count; first = queue.getFirst()) {
        queue.finish(first);
        taken.push(first);
    }
    return taken;
};

// Guards against an order that differs from that of arrival although the requests are equal.
test("equal requests of one flow are served in the order of arrival", t => {
    const queue = fairQueue.createFairQueue<Item>();
    const items = Array.from({ length: 50 }, (_, id) => createItem(id, "a", { dueAtMs: id }));
    items.forEach(queue.insert);
    t.deepEqual(takeAll(queue), items);
});

// Guards against an organisation that gets more slots by sending more.
test("flows share the work by their weights, however many requests each has", t => {
    const queue = fairQueue.createFairQueue<Item>();
    for (let id = 0; id < 300; id++) {
        queue.insert(createItem(id, "flood"));
    }
    for (let id = 300; id < 400; id++) {
        queue.insert(createItem(id, "heavy", { weight: 2 }));
        queue.insert(createItem(id + 100, "light", { weight: 1, workMs: 20 }));
    }
    const served = takeAll(queue, 70).map(({ flow }) => flow);
    const count = (name: string): number => served.filter(flow => flow === name).length;
    t.true(Math.abs(count("flood") - 20) <= 2, String(count("flood")));
    t.true(Math.abs(count("heavy") - 40) <= 2, String(count("heavy")));
    t.true(Math.abs(count("light") - 10) <= 2, String(count("light")));
});

// Guards against a flow that regains its share at once by never having two requests waiting.
test("a flow that empties between its requests gets no more than its share", t => {
    const queue = fairQueue.createFairQueue<Item>();
    for (let id = 0; id < 100; id++) {
        queue.insert(createItem(id, "a"));
        queue.insert(createItem(id + 100, "b"));
    }
    let eager = 0;
    for (let turn = 0; turn < 60; turn++) {
        if (queue.listFlow("eager").length === 0) {
            queue.insert(createItem(1_000 + turn, "eager"));
        }
        eager += takeAll(queue, 1)[0]?.flow === "eager" ? 1 : 0;
    }
    t.true(eager >= 18 && eager <= 23, String(eager));
});

// Guards against lost or repeated requests, and against a walk that changes the order.
test("any sequence of operations keeps each request once, and skipping changes nothing", t => {
    const operation = fc.record({
        kind: fc.constantFrom("insert", "finish", "remove", "walk"),
        flow: fc.constantFrom("a", "b", "c"),
        workMs: fc.integer({ min: 1, max: 300 }),
        dueAtMs: fc.integer({ min: 0, max: 50 }),
        weight: fc.constantFrom(0.05, 1, 65),
    });
    fc.assert(
        fc.property(fc.array(operation, { maxLength: 60 }), operations => {
            const queue = fairQueue.createFairQueue<Item>();
            const waiting = new Set<Item>();
            operations.forEach(({ kind, ...fields }, id) => {
                const first = queue.getFirst();
                switch (kind) {
                    case "insert": {
                        const item = { id, ...fields };
                        queue.insert(item);
                        waiting.add(item);
                        break;
                    }
                    case "finish":
                        if (first !== undefined) {
                            queue.finish(first);
                            waiting.delete(first);
                        }
                        break;
                    case "remove": {
                        const item = [...waiting].at(id % Math.max(1, waiting.size));
                        if (item !== undefined) {
                            t.true(queue.remove(item));
                            waiting.delete(item);
                        }
                        break;
                    }
                    case "walk": {
                        const seen = new Set<Item>();
                        for (let next = queue.getFirst(); next !== undefined; next = queue.getFirst()) {
                            t.false(seen.has(next));
                            seen.add(next);
                            queue.skipFirst();
                        }
                        queue.reset();
                        t.deepEqual(listIds(seen), listIds(waiting));
                        t.is(queue.getFirst(), first);
                        break;
                    }
                }
                t.is(queue.count(), waiting.size);
                t.true([...waiting].every(item => queue.countBefore(item) <= waiting.size));
            });
            t.deepEqual(listIds(takeAll(queue)), listIds(waiting));
        }),
        { numRuns: 300, seed: 7 },
    );
});
