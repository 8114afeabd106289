/**
 * In-memory stand-in for the platform's services, with faults that tests can inject.
 */
import * as platform from "../node/platform/Types.js";

/**
 * `loseAnswer` applies the next transaction but reports `unknown`; `loseRequest` reports `unknown` without applying it.
 */
export type TransactFault = "loseAnswer" | "loseRequest";

export interface MemoryPlatform extends platform.Platform {
    /** Sets whether all operations of the table service return `unavailable`. */
    setTableDown(down: boolean): void;
    setObjectsDown(down: boolean): void;
    /** Queues faults for the next transactions, one for each transaction. */
    addTransactFaults(...faults: TransactFault[]): void;
    setVms(vms: readonly platform.ListedVm[]): void;
    /** Sets an action to run once before the next transaction is applied, with which a test can create a race. */
    setBeforeTransact(action: (() => Promise<void>) | undefined): void;
    readonly counts: { transactions: number; reads: number; writes: number };
}

/**
 * Creates an empty platform.
 *
 * @returns the stand-in
 */
export const createMemoryPlatform = (): MemoryPlatform => {
    const rows = new Map<string, platform.Row>();
    const objects = new Map<string, string>();
    const faults: TransactFault[] = [];
    const counts = { transactions: 0, reads: 0, writes: 0 };
    let vms: readonly platform.ListedVm[] = [];
    let isTableDown = false;
    let areObjectsDown = false;
    let beforeTransact: (() => Promise<void>) | undefined;
    // Versions are never reused, so that a row that was deleted and inserted again differs from the old one.
    let lastVersion = 0;

    const unavailable = { kind: "unavailable", cause: "outage" } as const;

    const applyWrites = (writes: readonly platform.Write[]): void => {
        for (const write of writes) {
            counts.writes++;
            if (write.value === undefined) {
                rows.delete(write.key);
                continue;
            }
            lastVersion++;
            rows.set(write.key, { key: write.key, version: lastVersion, value: structuredClone(write.value) });
        }
    };

    const readRow = (key: string): Promise<platform.ReadResult> => {
        counts.reads++;
        if (isTableDown) {
            return Promise.resolve(unavailable);
        }
        const row = rows.get(key);
        return Promise.resolve(row === undefined ? { kind: "absent" } : { kind: "found", row });
    };

    const table: platform.TableService = {
        read: readRow,
        readIfChanged: async (key, version) => {
            const result = await readRow(key);
            return result.kind === "found" && result.row.version === version ? { kind: "unchanged" } : result;
        },
        scan: prefix => {
            counts.reads++;
            if (isTableDown) {
                return Promise.resolve(unavailable);
            }
            return Promise.resolve({
                kind: "found",
                rows: [...rows.values()].filter(row => row.key.startsWith(prefix)),
            });
        },
        transact: async (conditions, writes) => {
            counts.transactions++;
            const action = beforeTransact;
            beforeTransact = undefined;
            await action?.();
            if (isTableDown) {
                return unavailable;
            }
            const fault = faults.shift();
            if (fault === "loseRequest") {
                return { kind: "unknown", cause: "response lost" };
            }
            const broken = conditions.filter(
                condition => (rows.get(condition.key)?.version ?? 0) !== condition.version,
            );
            if (broken.length === 0) {
                applyWrites(writes);
            }
            if (fault === "loseAnswer") {
                return { kind: "unknown", cause: "response lost" };
            }
            if (broken.length > 0) {
                const found = broken.map(condition => rows.get(condition.key)).filter(row => row !== undefined);
                return { kind: "conflict", rows: found };
            }
            return { kind: "committed" };
        },
    };

    return {
        table,
        objects: {
            get: name => {
                if (areObjectsDown) {
                    return Promise.resolve(unavailable);
                }
                const content = objects.get(name);
                return Promise.resolve(content === undefined ? { kind: "absent" } : { kind: "found", content });
            },
            put: (name, content) => {
                if (areObjectsDown) {
                    return Promise.resolve(unavailable);
                }
                objects.set(name, content);
                return Promise.resolve({ kind: "stored" });
            },
        },
        vms: {
            list: (filter = {}) => {
                const isWanted = (vm: platform.ListedVm): boolean =>
                    (filter.role === undefined || vm.role === filter.role) &&
                    (filter.state === undefined || vm.state === filter.state);
                return Promise.resolve({ kind: "found", vms: vms.filter(isWanted) });
            },
        },
        setTableDown: down => (isTableDown = down),
        setObjectsDown: down => (areObjectsDown = down),
        addTransactFaults: (...added) => void faults.push(...added),
        setVms: listed => (vms = listed),
        setBeforeTransact: next => (beforeTransact = next),
        counts,
    };
};
