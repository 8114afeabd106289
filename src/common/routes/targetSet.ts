/**
 * The targets that are registered, by id and by service. What is known of a target is kept for a while after its
 * registration has disappeared, as the row of a running target may expire and return.
 */
import * as shared from "../Types.js";
import * as targetEntry from "./targetEntry.js";
import * as types from "./Types.js";

/** A target that leaves serves for some seconds after its row was removed. */
const retentionMs = 60_000;

export interface TargetSet {
    /** Replaces the registered targets. */
    setTargets(registrations: Iterable<types.Registration>): void;
    /** Finds a target that is registered or was so recently. */
    find(id: shared.TargetId): targetEntry.TargetEntry | undefined;
    /** Finds one run of a target. */
    findRun(id: shared.TargetId, startedAtMs: number): targetEntry.TargetEntry | undefined;
    /** Registered targets. */
    list(): readonly targetEntry.TargetEntry[];
    /** All targets, including those that were registered recently. */
    listKnown(): readonly targetEntry.TargetEntry[];
    listOfService(service: shared.ServiceName): readonly targetEntry.TargetEntry[];
    listServices(): Iterable<shared.ServiceName>;
}

/**
 * Creates an empty set.
 *
 * @param clock - the clock
 * @returns the set
 */
export const createTargetSet = (clock: shared.Clock): TargetSet => {
    const known = new Map<shared.TargetId, targetEntry.TargetEntry>();
    const byService = new Map<shared.ServiceName, targetEntry.TargetEntry[]>();

    const updateEntry = (registration: types.Registration): void => {
        const nowMs = clock.now();
        const entry = known.get(registration.id);
        if (entry === undefined || entry.registration.startedAtMs !== registration.startedAtMs) {
            known.set(registration.id, targetEntry.createTargetEntry(registration, nowMs));
            return;
        }
        entry.removedAtMs = undefined;
        if (entry.registration !== registration) {
            entry.registration = registration;
            entry.misdirectedUntilMs = 0;
            entry.coldUntilMs = registration.coldLeftMs > 0 ? nowMs + registration.coldLeftMs : 0;
        }
    };

    const removeMissing = (present: ReadonlySet<shared.TargetId>): void => {
        const nowMs = clock.now();
        for (const [id, entry] of known) {
            if (!present.has(id)) {
                entry.removedAtMs ??= nowMs;
                if (nowMs - entry.removedAtMs >= retentionMs) {
                    known.delete(id);
                }
            }
        }
    };

    const list = (): readonly targetEntry.TargetEntry[] => [...byService.values()].flat();

    return {
        setTargets: registrations => {
            const present = new Set<shared.TargetId>();
            for (const registration of registrations) {
                present.add(registration.id);
                updateEntry(registration);
            }
            removeMissing(present);
            byService.clear();
            for (const entry of known.values()) {
                if (entry.removedAtMs === undefined) {
                    const { service } = entry.registration;
                    const entries = byService.get(service) ?? [];
                    entries.push(entry);
                    byService.set(service, entries);
                }
            }
        },
        find: id => known.get(id),
        findRun: (id, startedAtMs) => {
            const entry = known.get(id);
            return entry?.registration.startedAtMs === startedAtMs ? entry : undefined;
        },
        list,
        listKnown: () => [...known.values()],
        listOfService: service => byService.get(service) ?? [],
        listServices: () => byService.keys(),
    };
};
