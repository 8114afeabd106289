/**
 * Token bucket, implemented as pure functions on immutable buckets.
 */

export interface TokenBucket {
    readonly tokens: number;
    readonly updatedAtMs: number;
}

export interface TokenRate {
    readonly perSecond: number;
    /** Capacity of the bucket. */
    readonly burst: number;
}

/**
 * Creates a full bucket.
 *
 * @param rate - its refill rate and capacity
 * @param nowMs - local monotonic time
 * @returns the bucket
 */
export const createTokenBucket = (rate: TokenRate, nowMs: number): TokenBucket => ({
    tokens: rate.burst,
    updatedAtMs: nowMs,
});

/**
 * Computes the available tokens.
 *
 * @param bucket - the bucket
 * @param rate - its refill rate and capacity
 * @param nowMs - local monotonic time
 * @returns the tokens, including the refill since the last update
 */
export const computeTokens = (bucket: TokenBucket, rate: TokenRate, nowMs: number): number =>
    Math.min(rate.burst, bucket.tokens + (Math.max(0, nowMs - bucket.updatedAtMs) * rate.perSecond) / 1_000);

/**
 * Takes tokens from a bucket.
 *
 * @param bucket - the bucket
 * @param rate - its refill rate and capacity
 * @param count - number of tokens
 * @param nowMs - local monotonic time
 * @returns the bucket after, or undefined if it has too few tokens
 */
export const takeTokens = (
    bucket: TokenBucket,
    rate: TokenRate,
    count: number,
    nowMs: number,
): TokenBucket | undefined => {
    const tokens = computeTokens(bucket, rate, nowMs);
    return tokens < count ? undefined : { tokens: tokens - count, updatedAtMs: nowMs };
};
