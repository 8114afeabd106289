/**
 * Divides a budget of bytes among the bodies of requests that are held at the same time. A body gets its bytes before it is
 * read; one that gets none waits unread. Small bodies have a part of the budget of their own, so that they don't wait behind
 * large ones. Bodies get bytes in the order in which their requests began, so that the oldest can be completed.
 */
import * as shared from "../Types.js";

const mebibyte = 1024 * 1024;
/** Bytes of a read that may still arrive after a body was told to wait; the first grant of a body of unknown length covers it. */
export const overshootBytes = 64 * 1024;
/** Bodies of up to this size are small; a body of unknown length begins as one. */
export const smallBodyBytes = 2 * overshootBytes;
/** Memory of the process at rest (60 MB) and what its heap grows by under load. */
const restBytes = 110 * mebibyte;
/** Share of the remaining memory; the rest is for read buffers until they are collected, and for bytes in sockets. */
const budgetShare = 0.25;
const smallShare = 1 / 8;
const minSmallBytes = 4 * mebibyte;
/** A body that waits unread keeps about this much in the process and in its socket. */
const waitingBytes = smallBodyBytes;
/** After this long without room, a request is refused. */
const maxWaitMs = 2_000;
/** While others wait, a body must receive the smallest progress in each such time. */
const progressWindowMs = 1_000;
const minProgressBytes = 4 * 1024;
/** Checks that come later than this show that the process stood still, so that no body could make progress. */
const maxCheckGapMs = 500;

/** Why a body is not read to its end. */
export type BodyRefusal =
    /** It did not get room in time. */
    | "no-room"
    /** Others wait for room, and it has received next to nothing for a while. */
    | "no-progress"
    /** It took longer than any route allows for a whole request. */
    | "too-slow";

export interface BudgetOptions {
    readonly clock: shared.Clock;
    /** Memory of the machine. */
    readonly memoryBytes: number;
    /** Largest body that is allowed; infinite if it is not known yet. */
    getMaxBodyBytes(): number;
    /** Time after which a request that has not been received is worthless to its client. */
    getLongestTimeoutMs(): number;
}

export interface BodyCallbacks {
    /** Called when a body that waits has its bytes. */
    handleGrant(): void;
    /** Called when the body shall not be read on. Its bytes are still to be released. */
    handleRefusal(refusal: BodyRefusal): void;
}

export interface BodyHold {
    /**
     * Asks for bytes.
     *
     * @param bytes - size up to which the body shall be read, instead of the size of before
     * @returns true if it has them at once; otherwise one of the callbacks is called later
     */
    request(bytes: number): boolean;
    /** Records how much of the body has been received. */
    recordReceived(bytes: number): void;
    /** Records that the body is whole, and is held for the request's time. */
    recordWhole(): void;
    /** Gives the bytes back. */
    release(): void;
}

export interface BodyBudget {
    /** Begins to account for a body, which has no bytes yet. */
    begin(callbacks: BodyCallbacks): BodyHold;
    /** Refuses bodies that take too long; must be called several times a second. */
    check(): void;
    countReservedBytes(): number;
    countWaiting(): number;
}

type PoolName = "small" | "large";

interface HeldBody {
    readonly callbacks: BodyCallbacks;
    readonly beganAtMs: number;
    pool: PoolName;
    reserved: number;
    /** Bytes that it waits for; undefined if it does not wait. */
    wanted: number | undefined;
    waitsSinceMs: number;
    isWhole: boolean;
    isRefused: boolean;
    received: number;
    /** Bytes received at the beginning of the current window. */
    windowBytes: number;
    windowAtMs: number;
    /** Whether the last whole window had too little progress. */
    isStalled: boolean;
}

/**
 * Computes the parts of the budget.
 *
 * @param memoryBytes - memory of the machine
 * @param maxBodyBytes - largest body that is allowed; one such body fits always
 * @returns bytes for small bodies and for all others
 */
export const computePools = (memoryBytes: number, maxBodyBytes: number): Readonly<Record<PoolName, number>> => {
    const budget = Math.max(0, memoryBytes - restBytes) * budgetShare;
    const small = Math.max(minSmallBytes, budget * smallShare);
    const largest = Number.isFinite(maxBodyBytes) ? maxBodyBytes : 0;
    return { small, large: Math.max(budget - small, largest, smallBodyBytes) };
};

/**
 * Creates the budget.
 *
 * @param options - memory, limits and clock
 * @returns the budget, of which nothing is used
 */
export const createBodyBudget = (options: BudgetOptions): BodyBudget => {
    const { clock } = options;
    /** In the order in which their requests began. */
    const bodies = new Set<HeldBody>();
    const used: Record<PoolName, number> = { small: 0, large: 0 };
    const waiting: Record<PoolName, number> = { small: 0, large: 0 };
    let checkedAtMs = clock.now();

    const getPools = (): Readonly<Record<PoolName, number>> =>
        computePools(options.memoryBytes, options.getMaxBodyBytes());

    const startWindow = (body: HeldBody): void => {
        body.windowAtMs = clock.now();
        body.windowBytes = body.received;
        body.isStalled = false;
    };
    const stopWaiting = (body: HeldBody): void => {
        if (body.wanted !== undefined) {
            body.wanted = undefined;
            waiting[body.pool]--;
        }
    };
    const refuse = (body: HeldBody, refusal: BodyRefusal): void => {
        stopWaiting(body);
        body.isRefused = true;
        body.callbacks.handleRefusal(refusal);
    };
    const canGrow = (body: HeldBody, bytes: number, pool: PoolName): boolean =>
        used[pool] - (body.pool === pool ? body.reserved : 0) + bytes <= getPools()[pool];
    const reserve = (body: HeldBody, bytes: number, pool: PoolName): void => {
        used[body.pool] -= body.reserved;
        body.pool = pool;
        body.reserved = bytes;
        used[pool] += bytes;
        startWindow(body);
    };

    const listWaiting = (pool: PoolName): HeldBody[] =>
        waiting[pool] === 0 ? [] : [...bodies].filter(body => body.wanted !== undefined && body.pool === pool);

    /** Whether the bytes of a pool can only come back by refusing bodies that wait themselves. */
    const isDeadlocked = (pool: PoolName): boolean =>
        ![...bodies].some(
            body => body.pool === pool && body.reserved > 0 && body.wanted === undefined && !body.isRefused,
        );

    const dispatchPool = (pool: PoolName): void => {
        for (const body of listWaiting(pool)) {
            const { wanted } = body;
            if (wanted === undefined) {
                continue;
            }
            if (!canGrow(body, wanted, pool)) {
                break;
            }
            stopWaiting(body);
            reserve(body, wanted, pool);
            body.callbacks.handleGrant();
        }
        const [oldest, ...others] = listWaiting(pool);
        const youngestHolder = others.filter(body => body.reserved > 0).at(-1);
        if (oldest !== undefined && youngestHolder !== undefined && isDeadlocked(pool)) {
            refuse(youngestHolder, "no-room");
        }
    };

    /** Grants what has become possible. Callbacks may release bodies and so call this again. */
    let isDispatching = false;
    let mustRepeat = false;
    const dispatch = (): void => {
        mustRepeat = true;
        if (isDispatching) {
            return;
        }
        isDispatching = true;
        try {
            while (mustRepeat) {
                mustRepeat = false;
                dispatchPool("small");
                dispatchPool("large");
            }
        } finally {
            isDispatching = false;
        }
    };

    const request = (body: HeldBody, bytes: number): boolean => {
        if (bytes === 0) {
            return true;
        }
        const isSmall = bytes <= smallBodyBytes;
        if (isSmall && waiting.small === 0 && canGrow(body, bytes, "small")) {
            reserve(body, bytes, "small");
            return true;
        }
        if (waiting.large === 0 && canGrow(body, bytes, "large")) {
            reserve(body, bytes, "large");
            return true;
        }
        const pool = isSmall ? "small" : "large";
        const pools = getPools();
        // A body keeps what it has while it waits, now in the pool in which it waits.
        reserve(body, body.reserved, pool);
        body.wanted = bytes;
        body.waitsSinceMs = clock.now();
        waiting[pool]++;
        if (bytes > pools[pool] || waiting[pool] * waitingBytes > pools.small) {
            refuse(body, "no-room");
        } else {
            dispatch();
        }
        return body.wanted === undefined && !body.isRefused;
    };

    const checkProgress = (body: HeldBody): void => {
        const nowMs = clock.now();
        if (nowMs - body.windowAtMs >= progressWindowMs) {
            const isStalled = body.received - body.windowBytes < minProgressBytes;
            startWindow(body);
            body.isStalled = isStalled;
        }
    };

    const findRefusal = (body: HeldBody): BodyRefusal | undefined => {
        const nowMs = clock.now();
        if (body.isWhole || body.isRefused) {
            return undefined;
        }
        if (body.wanted !== undefined) {
            return nowMs - body.waitsSinceMs >= maxWaitMs ? "no-room" : undefined;
        }
        if (nowMs - body.beganAtMs >= options.getLongestTimeoutMs()) {
            return "too-slow";
        }
        checkProgress(body);
        return body.isStalled && waiting[body.pool] > 0 ? "no-progress" : undefined;
    };

    return {
        begin: callbacks => {
            const nowMs = clock.now();
            const body: HeldBody = {
                callbacks,
                beganAtMs: nowMs,
                pool: "small",
                reserved: 0,
                wanted: undefined,
                waitsSinceMs: nowMs,
                isWhole: false,
                isRefused: false,
                received: 0,
                windowBytes: 0,
                windowAtMs: nowMs,
                isStalled: false,
            };
            bodies.add(body);
            return {
                request: bytes => request(body, bytes),
                recordReceived: bytes => {
                    body.received = bytes;
                },
                recordWhole: () => {
                    body.isWhole = true;
                },
                release: () => {
                    if (bodies.delete(body)) {
                        stopWaiting(body);
                        used[body.pool] -= body.reserved;
                        dispatch();
                    }
                },
            };
        },
        check: () => {
            const nowMs = clock.now();
            const hasStoodStill = nowMs - checkedAtMs > maxCheckGapMs;
            checkedAtMs = nowMs;
            for (const body of [...bodies]) {
                if (hasStoodStill) {
                    startWindow(body);
                }
                const refusal = findRefusal(body);
                if (refusal !== undefined) {
                    refuse(body, refusal);
                }
            }
            dispatch();
        },
        countReservedBytes: () => used.small + used.large,
        countWaiting: () => waiting.small + waiting.large,
    };
};
