/**
 * Loads on an admission queue in virtual time: slots whose speed changes, kinds of requests, organisations, and clients
 * that come back once after a refusal.
 */
import * as ids from "../../common/ids.js";
import * as randoms from "../../common/random.js";
import * as admissionDecision from "../../common/routes/admissionDecision.js";
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as simScheduler from "../../bench/policy/simScheduler.js";

/** A quarter of the targets is slow at a time, for half a second. */
const slowPhaseMs = 500;
const slowShare = 0.25;
const slowFactor = 7;
const usualWaitShare = 0.25;
/** A connection that a client opens to come back. */
const connectMs = 2;
const maxRetryAfterShare = 1 / 3;

export interface Kind {
    readonly name: string;
    readonly perSecond: number;
    readonly workMs: number;
    readonly objectiveMs: number;
    readonly deadlineMs: number;
    readonly priority: number;
}

export interface LoadedOrganisation {
    readonly name: string;
    /** Share of the usual requests. */
    readonly share: number;
}

export interface Load {
    readonly name: string;
    readonly targets: number;
    readonly kinds: readonly Kind[];
    /** Empty if the requests have no organisations. */
    readonly organisations: readonly LoadedOrganisation[];
    readonly durationMs: number;
    /** Factor on the usual rate of a kind and an organisation. */
    computeFactor(kind: Kind, organisation: string, atMs: number): number;
    /** Requests of each kind that come at the start, all at once. */
    readonly firstRequests?: number;
}

/** `arrival`: by priority, then in the order of arrival, with a fixed wait. */
export type Order = "arrival" | "fair";

export interface Tally {
    requests: number;
    /** Answered before the deadline. */
    served: number;
    /** Answered within the objective. */
    inTime: number;
    /** Refusals, also those after which the client came back. */
    refusals: number;
    refusalWaitMs: number;
    slotWaitMs: number;
    slots: number;
    reasons: Record<string, number>;
}

export interface LoadResult {
    readonly byKind: ReadonlyMap<string, Tally>;
    readonly byOrganisation: ReadonlyMap<string, Tally>;
    readonly all: Tally;
    readonly retryAfterMs: readonly number[];
    /** Most requests that a target ran at once. */
    readonly maxRunning: number;
}

const service = ids.toServiceName("service");
const slotsPerTarget = 2;

const createTally = (): Tally => ({
    requests: 0,
    served: 0,
    inTime: 0,
    refusals: 0,
    refusalWaitMs: 0,
    slotWaitMs: 0,
    slots: 0,
    reasons: {},
});

interface Target {
    running: number;
    readonly slowPhases: readonly boolean[];
}

const isSlow = (target: Target, atMs: number): boolean => target.slowPhases[Math.floor(atMs / slowPhaseMs)] ?? false;

const computeEndMs = (target: Target, startMs: number, workMs: number): number => {
    let atMs = startMs;
    for (let leftMs = workMs; ;) {
        const factor = isSlow(target, atMs) ? slowFactor : 1;
        const phaseEndMs = (Math.floor(atMs / slowPhaseMs) + 1) * slowPhaseMs;
        if (atMs + leftMs * factor <= phaseEndMs) {
            return atMs + leftMs * factor;
        }
        leftMs -= (phaseEndMs - atMs) / factor;
        atMs = phaseEndMs;
    }
};

/**
 * Runs a load.
 *
 * @param load - the load
 * @param order - the order of the queue
 * @param seed - of the random numbers
 * @returns what became of the requests
 */
export const runLoad = async (load: Load, order: Order, seed: number): Promise<LoadResult> => {
    const scheduler = simScheduler.createSimScheduler();
    const random = randoms.createRandom(seed);
    const queue = admissionQueue.createAdmissionQueue<Target>(scheduler, randoms.createRandom(seed + 1));
    const usualPerSecond = load.kinds.reduce((sum, { perSecond }) => sum + perSecond, 0);
    queue.setOrganisations(
        load.organisations.map(({ name, share }) => ({
            name: ids.toOrganisationName(name),
            keys: [],
            perSecond: 1.6 * share * usualPerSecond,
            burst: 0,
        })),
    );
    const targets: Target[] = Array.from({ length: load.targets }, () => ({
        running: 0,
        slowPhases: Array.from({ length: 200 }, () => random.nextFloat() < slowShare),
    }));
    const byKind = new Map<string, Tally>();
    const byOrganisation = new Map<string, Tally>();
    const all = createTally();
    const retryAfterMs: number[] = [];
    let maxRunning = 0;

    const getTally = (tallies: Map<string, Tally>, name: string): Tally => {
        const tally = tallies.get(name) ?? createTally();
        tallies.set(name, tally);
        return tally;
    };

    const takeTarget = (isLast: boolean): Target | undefined => {
        const nowMs = scheduler.now();
        const free = targets.filter(({ running }) => running < slotsPerTarget);
        const fast = free.filter(target => !isSlow(target, nowMs));
        const mayBeSlow = isLast || targets.every(target => isSlow(target, nowMs));
        const candidates = fast.length > 0 || !mayBeSlow ? fast : free;
        const target = candidates[random.nextInt(Math.max(1, candidates.length))];
        if (target !== undefined) {
            target.running++;
            maxRunning = Math.max(maxRunning, target.running);
        }
        return target;
    };

    const send = async (kind: Kind, organisation: string, bornAtMs: number, isRetry: boolean): Promise<void> => {
        const tallies = [getTally(byKind, kind.name), getTally(byOrganisation, organisation), all];
        const startedAtMs = scheduler.now();
        const deadlineLeftMs = bornAtMs + kind.deadlineMs - startedAtMs;
        let refusal: admissionQueue.Refusal | undefined;
        if (!isRetry) {
            tallies.forEach(tally => tally.requests++);
        }
        const inputs: admissionDecision.AdmissionInputs = {
            organisation: organisation === "" ? undefined : ids.toOrganisationName(organisation),
            route: kind.name,
            objectiveMs: kind.objectiveMs,
            objectiveLeftMs: kind.objectiveMs,
            deadlineLeftMs,
            workMs: kind.workMs,
            slowWorkMs: kind.workMs * 1.5,
        };
        const target = await queue.wait({
            service,
            priority: kind.priority,
            maxWaitMs: Math.min(deadlineLeftMs, kind.objectiveMs * usualWaitShare),
            signal: new AbortController().signal,
            ...(order === "fair" ? { inputs, isFirstAttempt: true } : {}),
            take: takeTarget,
            handleRefusal: refused => (refusal = refused),
        });
        const waitedMs = scheduler.now() - startedAtMs;
        if (target !== undefined) {
            tallies.forEach(tally => {
                tally.slots++;
                tally.slotWaitMs += waitedMs;
            });
            const workMs = kind.workMs * (0.7 + 0.6 * random.nextFloat());
            const endMs = computeEndMs(target, scheduler.now(), workMs);
            scheduler.schedule(endMs - scheduler.now(), () => {
                target.running--;
                tallies.forEach(tally => {
                    tally.served += endMs - bornAtMs <= kind.deadlineMs ? 1 : 0;
                    tally.inTime += endMs - bornAtMs <= kind.objectiveMs ? 1 : 0;
                });
                queue.dispatch(service);
            });
            return;
        }
        const afterMs = refusal?.retryAfterMs ?? 0;
        retryAfterMs.push(afterMs);
        tallies.forEach(tally => {
            tally.refusals++;
            tally.refusalWaitMs += waitedMs;
            const reason = refusal?.reason ?? "none";
            tally.reasons[reason] = (tally.reasons[reason] ?? 0) + 1;
        });
        if (!isRetry && afterMs <= (deadlineLeftMs - waitedMs) * maxRetryAfterShare) {
            scheduler.schedule(afterMs + connectMs, () => void send(kind, organisation, bornAtMs, true));
        }
    };

    const organisations = load.organisations.length > 0 ? load.organisations : [{ name: "", share: 1 }];
    for (const kind of load.kinds) {
        for (const { name, share } of organisations) {
            for (let count = 0; count < (load.firstRequests ?? 0) * share; count++) {
                scheduler.schedule(0, () => void send(kind, name, 0, false));
            }
            // Arrivals at the greatest rate, thinned out to the rate of the moment.
            const maxFactor = 10;
            const meanMs = 1_000 / (kind.perSecond * share * maxFactor);
            let atMs = 0;
            for (;;) {
                atMs -= Math.log(1 - random.nextFloat()) * meanMs;
                if (atMs >= load.durationMs) {
                    break;
                }
                if (random.nextFloat() < load.computeFactor(kind, name, atMs) / maxFactor) {
                    const bornAtMs = atMs;
                    scheduler.schedule(bornAtMs, () => void send(kind, name, bornAtMs, false));
                }
            }
        }
    }
    await scheduler.runUntil(load.durationMs + 6_000);
    return { byKind, byOrganisation, all, retryAfterMs, maxRunning };
};

const thumbPreview = { workMs: 219, objectiveMs: 605, deadlineMs: 3_025 };
const archiveSearch = { workMs: 86.7, objectiveMs: 305, deadlineMs: 1_525 };
const ledgerPost = { workMs: 148, objectiveMs: 411, deadlineMs: 2_569 };

/** Shares of organisations by a Zipf distribution of exponent 1.2. */
const createOrganisations = (count: number): readonly LoadedOrganisation[] => {
    const parts = Array.from({ length: count }, (_, index) => (index + 1) ** -1.2);
    const sum = parts.reduce((total, part) => total + part, 0);
    return parts.map((part, index) => ({ name: `o${String(index + 1)}`, share: part / sum }));
};

const isBetween = (atMs: number, startMs: number, endMs: number): boolean => atMs >= startMs && atMs < endMs;

/** The organisation that sends more than usual in the load `surge`. */
export const surgingOrganisation = "o2";

/** The loads that the order of admission answers. */
export const loads: readonly Load[] = [
    {
        name: "surge: one organisation sends 7.5 times its usual load for 6 s, on a third of the targets",
        targets: 20,
        kinds: [{ name: "thumb-preview", perSecond: 97, priority: 1, ...thumbPreview }],
        organisations: createOrganisations(71),
        durationMs: 10_000,
        computeFactor: (_, organisation, atMs) =>
            organisation === surgingOrganisation && isBetween(atMs, 2_000, 8_000) ? 7.5 : 1,
    },
    {
        name: "less urgent burst: 2.3 times ledger-post beside archive-search",
        targets: 8,
        kinds: [
            { name: "archive-search", perSecond: 26.3, priority: 0, ...archiveSearch },
            { name: "ledger-post", perSecond: 28, priority: 1, ...ledgerPost },
        ],
        organisations: createOrganisations(71),
        durationMs: 10_000,
        computeFactor: (kind, _, atMs) => (kind.priority === 1 && isBetween(atMs, 2_000, 8_000) ? 2.3 : 1),
    },
    {
        name: "two kinds: work of 219 and 87 ms in one priority, overloaded, without organisations",
        targets: 10,
        kinds: [
            { name: "thumb-preview", perSecond: 60, priority: 1, ...thumbPreview },
            { name: "archive-search", perSecond: 60, priority: 1, ...archiveSearch },
        ],
        organisations: [],
        durationMs: 10_000,
        computeFactor: () => 1,
    },
    {
        name: "restart: 300 clients of two kinds come at once, and then as usual",
        targets: 32,
        kinds: [
            { name: "thumb-preview", perSecond: 60, priority: 1, ...thumbPreview },
            { name: "archive-search", perSecond: 26.3, priority: 0, ...archiveSearch },
        ],
        organisations: createOrganisations(71),
        durationMs: 6_000,
        firstRequests: 150,
        computeFactor: () => 1,
    },
    {
        name: "returning clients: twice the capacity for 4 s, so that refused clients come back",
        targets: 16,
        kinds: [{ name: "thumb-preview", perSecond: 97, priority: 1, ...thumbPreview }],
        organisations: createOrganisations(71),
        durationMs: 8_000,
        computeFactor: (_, __, atMs) => (isBetween(atMs, 2_000, 6_000) ? 2 : 0.8),
    },
    {
        name: "equal requests: one kind without organisations, overloaded",
        targets: 16,
        kinds: [{ name: "thumb-preview", perSecond: 150, priority: 1, ...thumbPreview }],
        organisations: [],
        durationMs: 6_000,
        computeFactor: () => 1,
    },
];
