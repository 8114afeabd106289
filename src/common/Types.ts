/**
 * Types that every part of the system shares: branded ids, time and lifetimes.
 */

declare const brand: unique symbol;

/** A value of type `T` that cannot be mistaken for another `T` with a different meaning. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

export type ServiceName = Brand<string, "ServiceName">;
export type TargetId = Brand<string, "TargetId">;
export type VmId = Brand<string, "VmId">;
/** One run of an entry daemon; a restarted daemon has a new one. */
export type IncarnationId = Brand<string, "IncarnationId">;
export type ZoneName = Brand<string, "ZoneName">;
export type RegionName = Brand<string, "RegionName">;
export type CallId = Brand<string, "CallId">;
export type AttemptId = Brand<string, "AttemptId">;
/** One run of a target; it changes when the target restarts. */
export type BootId = Brand<string, "BootId">;
export type SectionName = Brand<string, "SectionName">;
/** SHA-256 in lower-case hexadecimal. */
export type Digest = Brand<string, "Digest">;
/** `ip:port`, with an IPv6 address in brackets. */
export type Address = Brand<string, "Address">;
export type Revision = Brand<number, "Revision">;
/** A service in a zone, written `service/zone`. */
export type CellId = Brand<string, "CellId">;

/** Something with a lifetime. Calling `dispose` twice has no further effect. */
export interface Disposable {
    dispose(): void;
}

/** Subscribes a listener; disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Monotonic time in milliseconds. Values of two processes cannot be compared. */
export interface Clock {
    now(): number;
}

/** Timers, replaceable by virtual time in tests and experiments. */
export interface Scheduler extends Clock {
    /** Calls `action` once after `delayMs`; disposing the result cancels it. */
    schedule(delayMs: number, action: () => void): Disposable;
}

/** Source of random numbers, seeded in tests. */
export interface Random {
    /** Returns a number in [0, 1). */
    nextFloat(): number;
    /** Returns an integer in [0, bound). */
    nextInt(bound: number): number;
}

/** Writes one line for each decision. A message begins with the fixed prefix of its part, as in `route: `. */
export interface Logger {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
}

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
