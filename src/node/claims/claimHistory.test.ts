import test from "ava";
import * as fc from "fast-check";
import * as claims from "../../common/claims/Types.js";
import * as keys from "../../common/claims/keys.js";
import * as ids from "../../common/ids.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as platform from "../platform/Types.js";
import * as claimController from "./claimController.js";

const service = ids.toServiceName("payments");
const signature = keys.computeSignature("POST", "/pay", 10);
const seed = 20261204;
const runs = 2_000;
const lateWriteDelayMs = 3_000;

type Command =
    | { readonly kind: "send"; readonly key: number; readonly vm: number; readonly times: number }
    | { readonly kind: "finish"; readonly index: number; readonly end: "done" | "notRun" | "mayHaveRun" }
    | { readonly kind: "advance"; readonly durationMs: number }
    | { readonly kind: "setTableDown"; readonly down: boolean }
    | { readonly kind: "fault"; readonly fault: "loseAnswer" | "loseRequest" | "late" }
    | { readonly kind: "restart"; readonly vm: number };

// Keys 0 and 1 are foreign; keys 2 and 3 are issued by the first incarnations of the two entry VMs.
const commands: fc.Arbitrary<Command> = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("send" as const),
            key: fc.nat(3),
            vm: fc.nat(1),
            times: fc.integer({ min: 1, max: 4 }),
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("finish" as const),
            index: fc.nat(9),
            end: fc.constantFrom("done" as const, "notRun" as const, "notRun" as const, "mayHaveRun" as const),
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            durationMs: fc.constantFrom(0, 1, 7, 15, 40, 1_500, 4_000, 130_000),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("setTableDown" as const), down: fc.boolean() }) },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("fault" as const),
            fault: fc.constantFrom("loseAnswer" as const, "loseRequest" as const, "late" as const),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart" as const), vm: fc.nat(1) }) },
);

interface Attempt {
    readonly key: number;
    readonly claim: claims.Claim;
    readonly incarnation: string;
    /** Undefined until the attempt is finished. */
    end: Extract<Command, { kind: "finish" }>["end"] | undefined;
}

const createSimulation = () => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const store = memoryPlatform.createMemoryPlatform();
    const attempts: Attempt[] = [];
    const resultCounts = new Map<string, number>();
    const failures: unknown[] = [];
    let openRequests = 0;
    let tokens = 0;
    let restarts = 0;
    let pendingLateWrites = 0;
    let hasLateWrite = false;

    const wait = (durationMs: number): Promise<void> =>
        new Promise(resolve => void scheduler.schedule(durationMs, resolve));

    // Request and response take 5 ms each. A late write takes effect long after the caller has got an `unknown` result.
    const table: platform.TableService = {
        scan: prefix => store.table.scan(prefix),
        readIfChanged: store.table.readIfChanged,
        read: async key => {
            await wait(5);
            const result = await store.table.read(key);
            await wait(5);
            return result;
        },
        transact: async (conditions, writes) => {
            if (pendingLateWrites > 0) {
                pendingLateWrites--;
                hasLateWrite = true;
                void wait(lateWriteDelayMs).then(() => store.table.transact(conditions, writes));
                await wait(10);
                return { kind: "unknown", cause: "late" };
            }
            await wait(5);
            const result = await store.table.transact(conditions, writes);
            await wait(5);
            return result;
        },
    };

    const incarnations = ["vm0-0", "vm1-0"];
    const createController = (incarnation: string): claims.ClaimController =>
        claimController.createClaimController({
            incarnation: ids.toIncarnationId(incarnation),
            scheduler,
            table,
            createToken: () => `token-${tokens++}`,
            limits: { maxKeys: 3, keptAnswerBytes: 1_000, keyRetentionMs: 60_000 },
            logger: silentLogger.createSilentLogger(),
        });
    const controllers = incarnations.map(createController);

    const countResult = (name: string): void => void resultCounts.set(name, (resultCounts.get(name) ?? 0) + 1);

    const formatKey = (key: number): string => (key < 2 ? `foreign-${key}` : `vm${key - 2}-0.0.x`);

    const recordRun = (key: number, vm: number, claim: claims.Claim): void => {
        const earlier = attempts.find(attempt => attempt.key === key && attempt.end !== "notRun");
        if (earlier !== undefined) {
            throw new Error(
                `key ${key} may run, although an earlier attempt has run or may run: ${JSON.stringify(earlier)}`,
            );
        }
        attempts.push({ key, claim, incarnation: incarnations[vm]!, end: undefined });
    };

    const send = async (key: number, vm: number): Promise<string> => {
        const decision = await controllers[vm]!.begin({ service, key: formatKey(key), signature });
        switch (decision.kind) {
            case "run":
                recordRun(key, vm, decision.claim);
                return "run";
            case "forward": {
                const arbiter = incarnations.indexOf(decision.incarnation);
                return arbiter < 0 ? "arbiter_gone" : send(key, arbiter);
            }
            case "refuse":
                return decision.error;
            case "wait":
                return `wait, ${(await decision.result).kind}`;
            case "replay":
                return "replay";
        }
    };

    const finish = (attempt: Attempt, end: NonNullable<Attempt["end"]>): void => {
        attempt.end = end;
        switch (end) {
            case "done":
                attempt.claim.finish({ kind: "done", response: { status: 200, headers: [], body: new Uint8Array(1) } });
                return;
            case "notRun":
                attempt.claim.finish({ kind: "notRun", error: "no_target" });
                return;
            case "mayHaveRun":
                attempt.claim.finish({ kind: "mayHaveRun", error: "outcome_unknown" });
                return;
        }
    };

    const listRunning = (): Attempt[] =>
        attempts.filter(({ end, incarnation }) => end === undefined && incarnations.includes(incarnation));

    const apply = async (command: Command): Promise<void> => {
        switch (command.kind) {
            case "send":
                for (let time = 0; time < command.times; time++) {
                    openRequests++;
                    void send(command.key, (command.vm + time) % 2)
                        .then(countResult, (error: unknown) => failures.push(error))
                        .finally(() => openRequests--);
                }
                return;
            case "finish": {
                const running = listRunning();
                if (running.length > 0) {
                    finish(running[command.index % running.length]!, command.end);
                }
                return;
            }
            case "advance":
                return scheduler.advance(command.durationMs);
            case "setTableDown":
                store.setTableDown(command.down);
                return;
            case "fault":
                if (command.fault === "late") {
                    pendingLateWrites++;
                } else {
                    store.addTransactFaults(command.fault);
                }
                return;
            case "restart":
                controllers[command.vm]!.dispose();
                incarnations[command.vm] = `vm${command.vm}-${++restarts}`;
                controllers[command.vm] = createController(incarnations[command.vm]!);
                return;
        }
    };

    const stopFaults = async (): Promise<void> => {
        pendingLateWrites = 0;
        store.setTableDown(false);
        while ((await store.table.transact([], [])).kind === "unknown") {
            continue;
        }
    };

    /**
     * Ends all attempts and outages, and checks that no request waits forever and no key that did not run is blocked.
     */
    const finishAll = async (hasRestarted: boolean): Promise<void> => {
        await stopFaults();
        for (let round = 0; round < 10; round++) {
            await scheduler.advance(10_000);
            listRunning().forEach(attempt => finish(attempt, "notRun"));
        }
        await scheduler.advance(10_000);
        if (failures.length > 0) {
            throw failures[0];
        }
        // The crash of an entry VM closes its callers' connections and leaves its claim rows in the table permanently.
        if (hasRestarted) {
            return;
        }
        if (openRequests > 0) {
            throw new Error(`${openRequests} requests are still waiting`);
        }
        if (!hasLateWrite) {
            await checkFreeKeys();
        }
    };

    const checkFreeKeys = async (): Promise<void> => {
        for (const key of [0, 1]) {
            if (attempts.every(attempt => attempt.key !== key || attempt.end === "notRun")) {
                const sent = send(key, 0);
                await scheduler.advance(1_000);
                const result = await sent;
                if (result !== "run") {
                    throw new Error(`key ${key} has not run, but a new request got ${result}`);
                }
            }
        }
    };

    return { apply, finishAll, resultCounts };
};

test("random histories: a key runs at most once, and a key that did not run is not blocked", async t => {
    const totals = new Map<string, number>();
    const property = fc.asyncProperty(fc.array(commands, { minLength: 5, maxLength: 60 }), async history => {
        const simulation = createSimulation();
        for (const command of history) {
            await simulation.apply(command);
        }
        await simulation.finishAll(history.some(command => command.kind === "restart"));
        simulation.resultCounts.forEach((count, name) => totals.set(name, (totals.get(name) ?? 0) + count));
    });
    await fc.assert(property, { seed, numRuns: runs, includeErrorInReport: true });
    t.log(`seed ${seed}, ${runs} histories, results: ${JSON.stringify(Object.fromEntries(totals))}`);
    for (const result of [
        "run",
        "replay",
        "key_in_progress",
        "claim_store_unavailable",
        "key_expired",
        "arbiter_gone",
    ]) {
        t.true((totals.get(result) ?? 0) > 0, `the histories reach ${result}`);
    }
});
