/**
 * Runs one scenario in a separate system and checks its history.
 */
import * as switches from "../../node/entry/unsafeSwitches.js";
import * as checker from "../history/checker.js";
import * as history from "../history/Types.js";
import * as httpServer from "../http/httpServer.js";
import * as deployments from "../system/deployments.js";
import * as system from "../system/system.js";
import * as directSender from "./directSender.js";
import * as traffic from "./traffic.js";
import * as types from "./Types.js";

const conditionPollMs = 25;
/** Long enough for a busy machine; the wait ends as soon as the condition holds. */
const conditionTimeoutMs = 45_000;
const maxLogLines = 5000;

/** The "few seconds" within which a change must take effect (section 1.1 of the design). */
export const propagationLimitMs = 5000;

const allowances: history.Allowances = { ...checker.defaultAllowances, removalMs: propagationLimitMs };

const publish = async (running: system.System): Promise<void> => {
    const published = await running.publish();
    if (published.exitCode !== 0) {
        throw new Error(`publish exited with ${published.exitCode}:\n${published.lines.join("\n")}`);
    }
    await Promise.all(running.entries.map(entry => running.waitForHealth(entry)));
};

const waitFor = async (what: string, isTrue: () => boolean | Promise<boolean>): Promise<void> => {
    const untilMs = httpServer.readMachineClockMs() + conditionTimeoutMs;
    while (!(await isTrue())) {
        if (httpServer.readMachineClockMs() > untilMs) {
            throw new Error(`condition not met within ${conditionTimeoutMs} ms: ${what}`);
        }
        await httpServer.waitMs(conditionPollMs);
    }
};

const toError = (reason: unknown): Error => (reason instanceof Error ? reason : new Error(String(reason)));

/**
 * Runs a scenario and checks its history.
 *
 * @param scenario - the scenario
 * @param seed - seed of service times, callers and random choices
 * @param unsafe - safety mechanisms that are switched off in the entry VMs
 * @returns the violations and the history
 */
export const runScenario = async (
    scenario: types.Scenario,
    seed: number,
    unsafe: readonly switches.UnsafeSwitch[] = [],
): Promise<types.ScenarioResult> => {
    const running = await system.startSystem({
        plan: scenario.plan,
        seed,
        ...(scenario.entryArgs === undefined ? {} : { entryArgs: scenario.entryArgs }),
        ...(scenario.hasPlatformRelays === undefined ? {} : { hasPlatformRelays: scenario.hasPlatformRelays }),
        ...(scenario.hasControlRelays === undefined ? {} : { hasControlRelays: scenario.hasControlRelays }),
        entryEnv: { TARRAGONPATH_UNSAFE: unsafe.join(",") },
    });
    const callers: history.CallerEvent[] = [];
    const removals: history.ZoneRemoval[] = [];
    const violations: types.ScenarioViolation[] = [];
    const notes: string[] = [];
    const record = (event: history.CallerEvent): void => void callers.push(event);
    const direct = directSender.createDirectSender(record);
    const addNote = (text: string): void => void notes.push(`${Math.round(httpServer.readMachineClockMs())} ${text}`);
    let trafficCount = 0;
    try {
        await publish(running);
        addNote("the configuration is published");
        const run = scenario.run({
            system: running,
            seed,
            send: direct.send,
            startTraffic: options =>
                traffic.startTraffic(
                    {
                        zones: scenario.plan.zones,
                        listEntries: () => running.entries,
                        record,
                        seed: seed + ++trafficCount,
                    },
                    options,
                ),
            addCallerEvent: record,
            addRemoval: removal => void removals.push(removal),
            addViolation: (rule, message) => void violations.push({ rule, message }),
            listCallerEvents: () => callers,
            waitFor,
            addNote,
        });
        const error = await run.then(() => undefined, toError);
        const limits = deployments
            .createTargets(scenario.plan, seed)
            .map(({ spec }) => ({ target: spec.id, coldSlots: spec.coldSlots }));
        const recorded = { targets: await running.readTargetEvents(), callers, removals, limits };
        const found = checker.checkHistory(recorded, allowances);
        const logs = Object.fromEntries(
            running.entries.map(entry => [
                `${entry.vm} ${entry.process.pid}`,
                entry.process.listLines().slice(-maxLogLines),
            ]),
        );
        return { violations: [...found, ...violations], history: recorded, notes, logs, error };
    } finally {
        await direct.close();
        await running.close();
    }
};
