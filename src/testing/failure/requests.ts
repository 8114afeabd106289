/**
 * Requests and helpers shared by several scenarios.
 */
import * as undici from "undici";
import * as callers from "../caller/Types.js";
import * as systemTypes from "../system/Types.js";
import * as types from "./Types.js";

const deadlineMs = 8000;
const bufferedCalls = 12;
/** Longer than the freeze, so that only the freshness limit prevents the calls from being dispatched. */
const bufferedDeadlineMs = 30_000;

/**
 * Creates a non-idempotent request with an issued key.
 *
 * @param number - makes the body unique
 * @returns the request
 */
export const createBooking = (number: number): callers.CallRequest => ({
    service: "bookings",
    method: "POST",
    path: "/bookings?answerBytes=2000",
    body: Buffer.from(JSON.stringify({ customer: number })),
    deadlineMs,
    key: { kind: "issued" },
    isIdempotent: false,
});

/**
 * Creates an idempotent request without a key.
 *
 * @param number - makes the path unique
 * @returns the request
 */
export const createNote = (number: number): callers.CallRequest => ({
    service: "bookings",
    method: "PUT",
    path: `/notes/${number}?answerBytes=2000&chunked=1`,
    body: Buffer.from(JSON.stringify({ note: number })),
    deadlineMs,
    key: { kind: "none" },
    isIdempotent: true,
});

/**
 * Finds the key prefix that an entry VM issues.
 *
 * @param entries - the entry VMs to send lookups to, in order
 * @param entry - the entry VM that issues the key
 * @param service - the service
 * @returns the prefix; undefined if no lookup lists the entry VM
 */
export const findKeyPrefix = async (
    entries: readonly systemTypes.EntryVm[],
    entry: systemTypes.EntryVm,
    service: string,
): Promise<string | undefined> => {
    for (const queried of entries) {
        const response = await undici.request(`http://${queried.listen}/lookup/${service}?zone=${entry.zone}`);
        const lookup = (await response.body.json()) as callers.LookupResponse;
        const found = response.statusCode === 200 ? lookup.entries.find(item => item.vm === entry.vm) : undefined;
        if (found?.keyPrefix !== undefined) {
            return found.keyPrefix;
        }
    }
    return undefined;
};

/**
 * Gets an entry VM by its position in the list of entry VMs.
 *
 * @param context - the run
 * @param index - position, from 0
 * @returns the entry VM
 */
export const getEntry = (context: types.Context, index: number): systemTypes.EntryVm => {
    const entry = context.system.entries[index];
    if (entry === undefined) {
        throw new Error(`there is no entry VM ${index}`);
    }
    return entry;
};

/**
 * Waits until the lookups of each entry VM list all entry VMs.
 *
 * @param context - the run
 * @param service - the service to look up
 */
export const waitForLookups = async (context: types.Context, service: string): Promise<void> => {
    const { entries } = context.system;
    await context.waitFor("all entry VMs in all lookups", async () => {
        const found = await Promise.all(
            entries.flatMap(queried => entries.map(entry => findKeyPrefix([queried], entry, service))),
        );
        return found.every(prefix => prefix !== undefined);
    });
};

/**
 * Sends calls to a frozen entry VM. They wait in its socket buffers until it continues.
 *
 * @param context - the run
 * @param entry - the frozen entry VM
 * @returns a promise that resolves when all calls have ended
 */
export const sendBuffered = async (context: types.Context, entry: systemTypes.EntryVm): Promise<void> => {
    const calls = Array.from({ length: bufferedCalls }, (_, index) =>
        context.send({
            entry,
            call: `buffered-${index}`,
            service: "bookings",
            method: "PUT",
            path: `/notes/buffered-${index}`,
            isIdempotent: true,
            deadlineMs: bufferedDeadlineMs,
        }),
    );
    await Promise.all(calls);
};
