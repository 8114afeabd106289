/**
 * Token bucket as pure functions.
 */

export interface TokenBucket {
    readonly tokens: number;
    readonly updatedAtMs: number;
}

export interface TokenRate {
    readonly perSecond: number;
    /** Most tokens that the bucket holds. */
    readonly burst: number;
}

/**
 * Creates a full bucket.
 *
 * @param rate - its rate and size
 * @param nowMs - local monotonic time
 * @returns the bucket
 */
export const createTokenBucket = (rate: TokenRate, nowMs: number): TokenBucket => ({
    tokens: rate.burst,
    updatedAtMs: nowMs,
});

/**
 * Computes the tokens in a bucket.
 *
 * @param bucket - the bucket
 * @param rate - its rate and size
 * @param nowMs - local monotonic time
 * @returns the tokens, including those of the time since the last change
 */
export const computeTokens = (bucket: TokenBucket, rate: TokenRate, nowMs: number): number =>
    Math.min(rate.burst, bucket.tokens + (Math.max(0, nowMs - bucket.updatedAtMs) * rate.perSecond) / 1_000);

/**
 * Takes tokens out of a bucket.
 *
 * @param bucket - the bucket
 * @param rate - its rate and size
 * @param count - how many
 * @param nowMs - local monotonic time
 * @returns the bucket without them, or undefined if it holds fewer
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
