/**
 * Entry point of `npm run demo`: runs the Fraserbank deployment locally for a few seconds.
 */
import * as undici from "undici";
import * as checker from "../history/checker.js";
import * as history from "../history/Types.js";
import * as tables from "../load/tables.js";
import * as deployments from "../system/deployments.js";
import * as system from "../system/system.js";
import * as systemTypes from "../system/Types.js";
import * as traffic from "./traffic.js";

const seed = 20_261;
const durationMs = 5000;
const linesPerVm = 3;

const print = (text: string): void => void process.stdout.write(`${text}\n`);

interface ConfigStatus {
    readonly revision: number;
    readonly fresh: boolean;
}

const readStatus = async (entry: systemTypes.EntryVm): Promise<ConfigStatus | undefined> => {
    const response = await undici.request(`http://${entry.control}/rpc`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ jsonrpc: "2.0", id: 1, method: "config.status", params: {} }),
    });
    return ((await response.body.json()) as { result?: ConfigStatus }).result;
};

const publish = async (running: system.System): Promise<void> => {
    print("\nPublishing the service files ...");
    const published = await running.publish();
    published.lines.forEach(line => print(`  ${line}`));
    if (published.exitCode !== 0) {
        throw new Error(`publish exited with ${published.exitCode}`);
    }
    await Promise.all(running.entries.map(entry => running.waitForHealth(entry)));
    await running.waitForAgreement();
};

const printTraffic = (results: readonly traffic.TrafficResult[]): void => {
    const outcomes = results.flatMap(result =>
        [...result.outcomes].map(([outcome, count]) => [result.service, outcome, count] as const),
    );
    print(`\nCalls by outcome\n${tables.formatTable(["service", "outcome", "calls"], outcomes)}`);
    const rows = results.map(({ service, latency }) => [
        service,
        latency.count,
        latency.p50Ms,
        latency.p90Ms,
        latency.p99Ms,
        latency.maxMs,
    ]);
    print(`\nLatency in ms, from the intended send time`);
    print(tables.formatTable(["service", "calls", "p50", "p90", "p99", "max"], rows));
};

const printDecisions = (running: system.System): void => {
    print("\nSome routing decisions of the entry VMs");
    for (const entry of running.entries) {
        const lines = entry.process.listLines().filter(line => line.includes("route:"));
        lines.slice(-linesPerVm).forEach(line => print(`  ${entry.vm}: ${line}`));
    }
};

const printRevisions = async (running: system.System): Promise<boolean> => {
    const statuses = await Promise.all(running.entries.map(readStatus));
    const rows = running.entries.map((entry, index) => {
        const status = statuses[index];
        return [entry.vm, entry.zone, status?.revision ?? "none", status?.fresh === true ? "yes" : "no"];
    });
    print(`\nConfiguration in force\n${tables.formatTable(["entry VM", "zone", "revision", "confirmed"], rows)}`);
    return statuses.every(status => status?.fresh === true && status.revision === statuses[0]?.revision);
};

const checkHistory = async (
    running: system.System,
    callers: readonly history.CallerEvent[],
): Promise<history.Violation[]> => {
    const limits = deployments
        .createTargets(deployments.fraserbank, seed)
        .map(({ spec }) => ({ target: spec.id, coldSlots: spec.coldSlots }));
    const targets = await running.readTargetEvents();
    return checker.checkHistory({ targets, callers, removals: [], limits }, checker.defaultAllowances);
};

const runDemo = async (running: system.System): Promise<boolean> => {
    const plan = deployments.fraserbank;
    print(`Started ${Object.keys(running.targets).length} targets and ${running.entries.length} entry VMs`);
    await publish(running);
    print(`\nSending calls for ${durationMs / 1000} s ...`);
    const events: history.CallerEvent[] = [];
    const listAddresses = (zone: string): string[] => [
        ...running.entries.filter(entry => entry.zone === zone).map(entry => entry.listen),
        ...running.entries.filter(entry => entry.zone !== zone).map(entry => entry.listen),
    ];
    const results = await Promise.all(
        traffic.fraserbankTraffic.map((kind, index) =>
            traffic.runTraffic(kind, {
                zones: plan.zones,
                listAddresses,
                seed: seed + 10 * index,
                durationMs,
                record: event => void events.push(event),
            }),
        ),
    );
    printTraffic(results);
    printDecisions(running);
    const isSameRevision = await printRevisions(running);
    const violations = await checkHistory(running, events);
    print(`\nViolations of the guarantees in the recorded history: ${violations.length}`);
    violations.slice(0, 10).forEach(violation => print(`  ${violation.rule}: ${violation.message}`));
    const faultyResponses = results.reduce((sum, result) => sum + result.faultyResponses, 0);
    const allRan = results.every(result => result.outcomes.get("ran") === result.latency.count);
    return isSameRevision && violations.length === 0 && faultyResponses === 0 && allRan;
};

const run = async (): Promise<void> => {
    const running = await system.startSystem({ plan: deployments.fraserbank, seed });
    try {
        const hasPassed = await runDemo(running);
        print(hasPassed ? "\nAll calls ran; all checks passed." : "\nSome calls or checks failed; see above.");
        process.exitCode = hasPassed ? 0 : 1;
    } catch (error) {
        print(`\nThe demo failed: ${error instanceof Error ? error.message : String(error)}`);
        process.exitCode = 1;
    } finally {
        await running.close();
    }
};

await run();
