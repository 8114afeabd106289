/**
 * Differences between two configurations, so that a VM that has the one gets only the rows that changed.
 */
import * as types from "./Types.js";

/** Rows of a list that were added or changed, and names of those that were removed. */
export interface RowDifference<T> {
    readonly changed: readonly T[];
    readonly removed: readonly string[];
}

export interface ConfigurationDifference {
    /** Digests of the configuration that the difference is based on, and of the one that results. */
    readonly baseDigest: string;
    readonly digest: string;
    /** All fields that are no lists of rows. */
    readonly fields: Omit<types.RouteConfiguration, "routes" | "services" | "organisations">;
    readonly routes: RowDifference<types.Route>;
    readonly services: RowDifference<types.RoutedService>;
    /** Undefined if the configuration has no organisations. */
    readonly organisations?: RowDifference<types.Organisation>;
}

/** Computes a digest of a text; a parameter, so that this module needs no library of the platform. */
export type ComputeDigest = (text: string) => string;

interface NamedRow {
    readonly name: string;
}

const compareRows = <T extends NamedRow>(base: readonly T[], next: readonly T[]): RowDifference<T> => {
    const known = new Map(base.map(row => [row.name, JSON.stringify(row)]));
    const names = new Set(next.map(row => row.name));
    return {
        changed: next.filter(row => known.get(row.name) !== JSON.stringify(row)),
        removed: [...known.keys()].filter(name => !names.has(name)),
    };
};

/** Changed rows keep their place, and added ones come last. */
const mergeRows = <T extends NamedRow>(base: readonly T[], difference: RowDifference<T>): readonly T[] => {
    const rows = new Map(base.map(row => [row.name, row]));
    difference.removed.forEach(name => rows.delete(name));
    difference.changed.forEach(row => rows.set(row.name, row));
    return [...rows.values()];
};

/** Independent of the order of the fields, which may differ between a store's row and a message. */
const formatConfiguration = (configuration: types.RouteConfiguration): string => {
    const { routes, services, organisations, ...fields } = configuration;
    const sorted = Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .sort(([left], [right]) => (left < right ? -1 : 1));
    return JSON.stringify([sorted, routes, services, organisations ?? null]);
};

const merge = (base: types.RouteConfiguration, difference: ConfigurationDifference): types.RouteConfiguration => ({
    ...difference.fields,
    routes: mergeRows(base.routes, difference.routes),
    services: mergeRows(base.services, difference.services),
    ...(difference.organisations === undefined
        ? {}
        : { organisations: mergeRows(base.organisations ?? [], difference.organisations) }),
});

/**
 * Computes the difference between two configurations.
 *
 * @param base - the configuration that the receiver has
 * @param next - the new one
 * @param computeDigest - computes a digest
 * @returns the difference; undefined if it cannot express the change, as with rows in another order or of the same name
 */
export const computeDifference = (
    base: types.RouteConfiguration,
    next: types.RouteConfiguration,
    computeDigest: ComputeDigest,
): ConfigurationDifference | undefined => {
    const { routes, services, organisations, ...fields } = next;
    const difference: ConfigurationDifference = {
        baseDigest: computeDigest(formatConfiguration(base)),
        digest: computeDigest(formatConfiguration(next)),
        fields,
        routes: compareRows(base.routes, routes),
        services: compareRows(base.services, services),
        ...(organisations === undefined ? {} : { organisations: compareRows(base.organisations ?? [], organisations) }),
    };
    const merged = formatConfiguration(merge(base, difference));
    return merged === formatConfiguration(next) ? difference : undefined;
};

/**
 * Applies a difference.
 *
 * @param base - the configuration that the receiver has; undefined before the first
 * @param difference - the difference
 * @param computeDigest - computes a digest
 * @returns the new configuration; undefined if the difference is based on another one
 */
export const applyDifference = (
    base: types.RouteConfiguration | undefined,
    difference: ConfigurationDifference,
    computeDigest: ComputeDigest,
): types.RouteConfiguration | undefined => {
    const baseDigest = base === undefined ? undefined : computeDigest(formatConfiguration(base));
    if (base === undefined || baseDigest === difference.digest) {
        return base;
    }
    if (baseDigest !== difference.baseDigest) {
        return undefined;
    }
    const next = merge(base, difference);
    return computeDigest(formatConfiguration(next)) === difference.digest ? next : undefined;
};
