/**
 * A caller sends the same key through other entry VMs: while the first request runs, after it has ended, and after the
 * arbiter of the key was killed. The call may run at most once.
 */
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const rounds = 4;

/** Sends one key through all entry VMs at once, and again after these requests have ended. */
const sendEverywhere = async (context: types.Context, call: string, key: string): Promise<types.DirectResponse[]> => {
    const request = { call, service: "payouts", path: "/payouts", key, body: Buffer.from(call) };
    const { entries } = context.system;
    const first = await Promise.all(entries.map(entry => context.send({ ...request, entry })));
    const later = await Promise.all(entries.map(entry => context.send({ ...request, entry })));
    return [...first, ...later];
};

/** Requests with an issued key are routed to its arbiter, which gives each of them the response. */
const sendIssued = async (context: types.Context, call: string, key: string): Promise<void> => {
    const responses = await sendEverywhere(context, call, key);
    const wrong = responses.find(response => response.outcome !== "ran");
    if (wrong !== undefined) {
        context.addViolation("answered", `a request of ${call} ended with ${wrong.outcome} ${wrong.error}`);
    }
};

/** One request with a foreign key gets the response; the others at least report that the call may have run. */
const sendForeign = async (context: types.Context, call: string, key: string): Promise<void> => {
    const responses = await sendEverywhere(context, call, key);
    const refused = responses.find(response => response.outcome === "not-run");
    if (refused !== undefined || !responses.some(response => response.responseCheck !== undefined)) {
        const outcomes = responses.map(response => response.error ?? response.outcome).join(", ");
        context.addViolation("answered", `the requests of ${call} ended with ${outcomes}`);
    }
};

/** Kills the arbiter while its call runs, and sends the key through the other entry VMs. */
const resendAfterKill = async (context: types.Context, call: string): Promise<void> => {
    const arbiter = requests.getEntry(context, 0);
    const others = context.system.entries.slice(1);
    const prefix = await requests.findKeyPrefix(others, arbiter, "payouts");
    const request = { call, service: "payouts", path: "/payouts", key: `${prefix}${call}`, body: Buffer.from(call) };
    const first = context.send({ ...request, entry: arbiter });
    await context.waitFor("the call runs at a target", async () =>
        (await context.system.readTargetEvents()).some(
            event => event.kind === "started" && event.requestId?.startsWith(`${call}.`) === true,
        ),
    );
    arbiter.process.sendSignal("SIGKILL");
    context.addNote(`killed ${arbiter.vm}, arbiter of ${call}`);
    const resends = await Promise.all(others.map(entry => context.send({ ...request, entry })));
    await first;
    const later = await Promise.all(others.map(entry => context.send({ ...request, entry })));
    for (const response of [...resends, ...later]) {
        if (response.outcome === "not-run") {
            context.addViolation("not-run", `a resend of ${call}, which had started, was reported as not run`);
        }
    }
};

export const resend: types.Scenario = {
    name: "resend",
    requirements: ["G1", "G2"],
    negativeControls: [{ unsafe: "no-arbiter", rules: ["at-most-once"] }],
    seed: 101,
    plan: plans.threeZones,
    entryArgs: plans.shortIntervalArgs,
    run: async context => {
        await requests.waitForLookups(context, "payouts");
        const traffic = context.startTraffic({ workers: 6, createRequest: requests.createBooking });
        await Promise.all(
            Array.from({ length: rounds }, async (_, round) => {
                const arbiter = requests.getEntry(context, round % context.system.entries.length);
                const prefix = await requests.findKeyPrefix(context.system.entries, arbiter, "payouts");
                await sendIssued(context, `issued-${round}`, `${prefix}issued-${round}`);
                await sendForeign(context, `foreign-${round}`, `own-key-${context.seed}-${round}`);
            }),
        );
        await resendAfterKill(context, "orphan");
        await traffic.stop();
    },
};
