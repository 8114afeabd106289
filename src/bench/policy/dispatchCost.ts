/**
 * Command that measures the time of one acquire and release of a slot: `node out/bench/policy/dispatchCost.js`.
 */
import * as fixtures from "../../common/routing/fixture.js";
import * as ids from "../../common/ids.js";
import * as routing from "../../common/routing/Types.js";
import * as silentLogger from "../../testing/silentLogger.js";

const rounds = 5;
const callsPerRound = 200_000;

const scheduler = { now: () => performance.now(), schedule: () => ({ dispose: () => undefined }) };

const measureCallCostUs = async (targets: number): Promise<readonly number[]> => {
    const self = fixtures.createMember("vm-a", "a");
    const configuration = fixtures.createConfiguration({ ...fixtures.smallShape, targets, slots: 4 });
    const logger = silentLogger.createSilentLogger();
    const fixture = fixtures.createDispatcherFixture({
        self,
        members: [self],
        configuration,
        scheduler,
        logger,
        seed: 1,
    });
    fixture.setWarm();
    const service = ids.toServiceName(fixtures.smallShape.name);
    const call = ids.toCallId("c");
    const signal = new AbortController().signal;
    const report = { state: "warm", busy: 1, boot: ids.toBootId("b1") } as const;
    const grants: routing.SlotGrant[] = [];
    const results: number[] = [];
    for (let round = 0; round < rounds; round++) {
        const startMs = performance.now();
        for (let index = 0; index < callsPerRound; index++) {
            const deadlineAtMs = scheduler.now() + 1_000;
            grants.push(
                await fixture.dispatcher.acquire({
                    call,
                    service,
                    deadlineAtMs,
                    exclude: [],
                    excludeMembers: [],
                    mayForward: true,
                    signal,
                }),
            );
            // Keeps about a quarter of the slots in use.
            const oldest = grants.length > targets ? grants.shift() : undefined;
            if (oldest?.kind === "local") {
                oldest.release({ kind: "answered", latencyMs: 10, report });
            }
        }
        results.push(((performance.now() - startMs) * 1_000) / callsPerRound);
    }
    return results;
};

for (const targets of [10, 20, 30]) {
    const results = await measureCallCostUs(targets);
    const texts = results.map(result => result.toFixed(2));
    console.log(`${String(targets)} targets: ${texts.join(", ")} us per acquire and release, one figure per round`);
}
