/**
 * An entry VM gets SIGTERM under load, with long calls and uploads in flight, while a target drains. Calls in flight
 * must finish, and no new calls may reach the entry VM or the target after the propagation limit.
 */
import * as history from "../../history/Types.js";
import * as httpServer from "../../http/httpServer.js";
import * as systemTypes from "../../system/Types.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as runScenarios from "../runScenario.js";
import * as types from "../Types.js";

const mebibyte = 1024 * 1024;
const uploadBytes = 8 * mebibyte;
const uploadChunkBytes = 256 * 1024;
const longCalls = 8;
const drainingTarget = "bookings-1";

const createUpload = (number: number) => ({
    ...requests.createNote(number),
    path: `/notes/upload-${number}`,
    body: Buffer.alloc(uploadBytes, `upload ${number} `),
    chunkBytes: uploadChunkBytes,
});

/**
 * G8: each request got its response or was refused before it ran. This includes requests to the other entry VMs, which
 * forward to the leaving one. Nothing else fails in this scenario.
 */
const checkUninterrupted = (context: types.Context): void => {
    for (const event of context.listCallerEvents()) {
        if (event.kind === "answered" && event.outcome !== "ran" && event.outcome !== "not-run") {
            const what = event.error ?? event.cause ?? "no response";
            context.addViolation("interrupted", `${event.requestId} to ${event.entry} ended with ${what}`);
        }
    }
};

/** G6: the leaving entry VM sends no call to a target later than a few seconds after SIGTERM. */
const checkNoLateAssignments = (context: types.Context, leaving: systemTypes.EntryVm, leftAt: Date): void => {
    const late = leaving.process.listLines().filter(line => {
        const loggedAt = Date.parse(line.split(" ")[0] ?? "");
        return (
            line.includes("route: call assigned to an owned target") &&
            loggedAt > leftAt.getTime() + runScenarios.propagationLimitMs
        );
    });
    if (late.length > 0) {
        context.addViolation("leaving-entry", `${leaving.vm} sent ${late.length} calls to targets: ${late[0]}`);
    }
};

/** G6: no lookup lists the leaving entry VM a few seconds after SIGTERM. */
const checkLookups = async (context: types.Context, leaving: systemTypes.EntryVm, leftAtMs: number): Promise<void> => {
    await httpServer.waitMs(Math.max(0, leftAtMs + runScenarios.propagationLimitMs - httpServer.readMachineClockMs()));
    const others = context.system.entries.filter(entry => entry !== leaving);
    const found = await requests.findKeyPrefix(others, leaving, "payouts");
    if (found !== undefined) {
        context.addViolation("leaving-entry", `a lookup lists ${leaving.vm}, which is leaving`);
    }
};

/** G6: the leaving entry VM runs no call that was sent later than a few seconds after SIGTERM. */
const checkNoLateCalls = (context: types.Context, leaving: systemTypes.EntryVm, leftAtMs: number): void => {
    const sentAtMs = new Map<string, number>();
    for (const event of context.listCallerEvents()) {
        if (event.kind === "sent") {
            sentAtMs.set(event.requestId, event.atMs);
            continue;
        }
        const sent = sentAtMs.get(event.requestId) ?? 0;
        if (
            event.entry === leaving.listen &&
            event.outcome === "ran" &&
            sent > leftAtMs + runScenarios.propagationLimitMs
        ) {
            context.addViolation(
                "leaving-entry",
                `${leaving.vm} ran ${event.requestId}, which was sent after the propagation limit`,
            );
        }
    }
};

/** G6: the draining target gets no call later than a few seconds after it began to drain. */
const checkDrained = (context: types.Context, events: readonly history.TargetEvent[], drainedAtMs: number): void => {
    const late = events.filter(
        event =>
            event.target === drainingTarget &&
            (event.kind === "started" || event.kind === "refused") &&
            event.atMs > drainedAtMs + runScenarios.propagationLimitMs,
    );
    if (late.length > 0) {
        context.addViolation(
            "draining-target",
            `${drainingTarget} got ${late.length} calls after it had begun to drain`,
        );
    }
};

/**
 * Waits until the entry VM knows that its targets of payouts are warm. Until its first report a target may be cold, and
 * calls to it end when the cold lease ends, which is shorter than the long calls.
 */
const waitForWarmTargets = (context: types.Context, entry: systemTypes.EntryVm, targets: number): Promise<void> =>
    context.waitFor("the targets of payouts are warm", () => {
        const warm = entry.process.listLines().filter(line => /target=payouts-\d+ from=unknown to=warm/.test(line));
        return warm.length >= targets;
    });

export const shutdown: types.Scenario = {
    name: "shutdown",
    requirements: ["G8", "G6"],
    negativeControls: [
        { unsafe: "no-drain", rules: ["interrupted"] },
        { unsafe: "no-leave-notice", rules: ["leaving-entry"] },
        { unsafe: "ignore-draining", rules: ["draining-target"] },
    ],
    seed: 404,
    plan: plans.oneTargetPerZone,
    entryArgs: plans.shortIntervalArgs,
    run: async context => {
        const { system } = context;
        await requests.waitForLookups(context, "payouts");
        const leaving = requests.getEntry(context, 0);
        const payouts = Object.keys(system.targets).filter(name => name.startsWith("payouts"));
        const bookings = context.startTraffic({ workers: 9, createRequest: requests.createBooking });
        const uploads = context.startTraffic({ workers: 4, createRequest: createUpload });
        await bookings.waitForRuns(30);
        await waitForWarmTargets(context, leaving, payouts.length / context.system.entries.length);
        // The long calls (8 s) must outlast the propagation limit, after which the entry VM takes no more calls.
        await Promise.all(payouts.map(name => system.setTargetFaults(name, { slowFactor: 10 })));
        const prefix = await requests.findKeyPrefix(system.entries, leaving, "payouts");
        const long = Array.from({ length: longCalls }, (_, index) =>
            context.send({
                entry: leaving,
                call: `long-${index}`,
                service: "payouts",
                path: "/payouts",
                key: `${prefix}long-${index}`,
                deadlineMs: 20_000,
            }),
        );
        await context.waitFor("the long calls run", async () => {
            const events = await system.readTargetEvents();
            const isLong = (event: history.TargetEvent): boolean => event.requestId?.startsWith("long-") === true;
            return events.filter(event => event.kind === "started" && isLong(event)).length === longCalls;
        });
        leaving.process.sendSignal("SIGTERM");
        await system.setTargetFaults(drainingTarget, { isDraining: true });
        const leftAt = new Date();
        const leftAtMs = httpServer.readMachineClockMs();
        context.addNote("SIGTERM to entry-1, bookings-1 drains");
        await Promise.all([...long, checkLookups(context, leaving, leftAtMs)]);
        // The propagation limit has passed when the long calls have ended, so these calls must go elsewhere.
        await bookings.waitForRuns(50);
        await Promise.all([bookings.stop(), uploads.stop()]);
        const exit = await leaving.process.waitForExit();
        if (exit !== 0) {
            context.addViolation("exit-code", `${leaving.vm} exited with ${exit}`);
        }
        checkUninterrupted(context);
        checkNoLateAssignments(context, leaving, leftAt);
        checkNoLateCalls(context, leaving, leftAtMs);
        checkDrained(context, await system.readTargetEvents(), leftAtMs);
    },
};
