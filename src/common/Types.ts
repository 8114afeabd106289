/**
 * Types shared by all parts of the system: branded ids, disposables, events, time, randomness and logging.
 */

declare const brand: unique symbol;

/** A nominal type: a `T` that the compiler distinguishes from other brands of `T`. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

export type ServiceName = Brand<string, "ServiceName">;
export type TargetId = Brand<string, "TargetId">;
export type VmId = Brand<string, "VmId">;
/** Identifies one run of an entry daemon; changes when the daemon restarts. */
export type IncarnationId = Brand<string, "IncarnationId">;
export type ZoneName = Brand<string, "ZoneName">;
export type RegionName = Brand<string, "RegionName">;
/** A customer's organisation, whose callers share its keys and its quota. */
export type OrganisationName = Brand<string, "OrganisationName">;
/** SHA-256 of a caller's key; keys themselves are not kept. */
export type KeyDigest = Brand<string, "KeyDigest">;
export type CallId = Brand<string, "CallId">;
export type AttemptId = Brand<string, "AttemptId">;
/** Identifies one run of a target; changes when the target restarts. */
export type BootId = Brand<string, "BootId">;
export type SectionName = Brand<string, "SectionName">;
/** SHA-256 in lower-case hexadecimal. */
export type Digest = Brand<string, "Digest">;
/** `ip:port`, with an IPv6 address in brackets. */
export type Address = Brand<string, "Address">;
export type Revision = Brand<number, "Revision">;
/** Identifies a cell, the targets of one service in one zone; written `service/zone`. */
export type CellId = Brand<string, "CellId">;

/** A resource that is released by `dispose`. Further calls of `dispose` have no effect. */
export interface Disposable {
    dispose(): void;
}

/** Adds a listener; disposing the result removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Monotonic time in milliseconds. Values from different processes cannot be compared. */
export interface Clock {
    now(): number;
}

/** Timers; replaced by virtual time in tests and experiments. */
export interface Scheduler extends Clock {
    /** Calls `action` once after `delayMs`; disposing the result cancels it. */
    schedule(delayMs: number, action: () => void): Disposable;
}

/** Random number generator, seeded in tests. */
export interface Random {
    /** Returns a number in [0, 1). */
    nextFloat(): number;
    /** Returns an integer in [0, bound). */
    nextInt(bound: number): number;
}

/** Writes one log line per decision. Each message begins with the prefix of its component, for example `route: `. */
export interface Logger {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
}

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
