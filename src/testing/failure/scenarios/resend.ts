/**
 * A caller sends the same key through other entry VMs: while the first sending runs, after it has ended, and after the
 * arbiter of the key was killed.
 */
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const rounds = 4;

/** Sends one key through all entry VMs at once, then again when it has ended. */
const sendEverywhere = async (context: types.Context, call: string, key: string): Promise<types.DirectAnswer[]> => {
    const sending = { call, service: "payouts", path: "/payouts", key, body: Buffer.from(call) };
    const { entries } = context.system;
    const first = await Promise.all(entries.map(entry => context.send({ ...sending, entry })));
    const later = await Promise.all(entries.map(entry => context.send({ ...sending, entry })));
    return [...first, ...later];
};

/** An issued key leads to its arbiter, which gives each sending the answer. */
const sendIssued = async (context: types.Context, call: string, key: string): Promise<void> => {
    const answers = await sendEverywhere(context, call, key);
    const wrong = answers.find(answer => answer.outcome !== "ran");
    if (wrong !== undefined) {
        context.addViolation("answered", `a sending of ${call} was answered ${wrong.outcome} ${wrong.error}`);
    }
};

/** One sending of a foreign key gets the answer; the others learn at least that the call may have run. */
const sendForeign = async (context: types.Context, call: string, key: string): Promise<void> => {
    const answers = await sendEverywhere(context, call, key);
    const refused = answers.find(answer => answer.outcome === "not-run");
    if (refused !== undefined || !answers.some(answer => answer.answer !== undefined)) {
        const outcomes = answers.map(answer => answer.error ?? answer.outcome).join(", ");
        context.addViolation("answered", `${call} was answered ${outcomes}`);
    }
};

/** Kills the arbiter while its call runs, and sends the key through the others. */
const resendAfterKill = async (context: types.Context, call: string): Promise<void> => {
    const arbiter = requests.getEntry(context, 0);
    const others = context.system.entries.slice(1);
    const prefix = await requests.findKeyPrefix(others, arbiter, "payouts");
    const sending = { call, service: "payouts", path: "/payouts", key: `${prefix}${call}`, body: Buffer.from(call) };
    const first = context.send({ ...sending, entry: arbiter });
    await context.waitFor("the call runs at a target", async () =>
        (await context.system.readTargetEvents()).some(
            event => event.kind === "started" && event.requestId?.startsWith(`${call}.`) === true,
        ),
    );
    arbiter.process.sendSignal("SIGKILL");
    context.note(`killed ${arbiter.vm}, arbiter of ${call}`);
    const resends = await Promise.all(others.map(entry => context.send({ ...sending, entry })));
    await first;
    const later = await Promise.all(others.map(entry => context.send({ ...sending, entry })));
    for (const answer of [...resends, ...later]) {
        if (answer.outcome === "not-run") {
            context.addViolation("not-run", `a resend of ${call}, which had started, was answered not run`);
        }
    }
};

export const resend: types.Scenario = {
    name: "resend",
    proves: ["G1", "G2"],
    teeth: [{ unsafe: "no-arbiter", rules: ["at-most-once"] }],
    seed: 101,
    plan: plans.threeZones,
    entryArgs: plans.quickArgs,
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
