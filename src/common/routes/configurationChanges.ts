/**
 * Compares two configurations of routes. Of keys only their number is given.
 */
import * as types from "./Types.js";

export interface ConfigurationChange {
    readonly kind: "added" | "removed" | "changed";
    /** The part of the configuration, such as `route "jobs"`. */
    readonly where: string;
    /** The fields that differ, with both values; empty for parts that were added or removed. */
    readonly fields: readonly string[];
}

type Fields = Readonly<Record<string, unknown>>;

/** A part of the configuration, with what is compared and printed of it. */
interface Part {
    readonly where: string;
    readonly fields: Fields;
    /** Compared, but not printed. */
    readonly keys: readonly string[];
}

const formatValue = (value: unknown): string => (value === undefined ? "none" : JSON.stringify(value));

const compareFields = (before: Fields, after: Fields): string[] =>
    [...new Set([...Object.keys(before), ...Object.keys(after)])].flatMap(name => {
        const [old, next] = [formatValue(before[name]), formatValue(after[name])];
        return old === next ? [] : [`${name}: ${old} -> ${next}`];
    });

const compareKeys = (before: readonly string[], after: readonly string[]): string[] => {
    const added = after.filter(key => !before.includes(key)).length;
    const removed = before.filter(key => !after.includes(key)).length;
    return added + removed === 0 ? [] : [`keys: ${added} added, ${removed} removed`];
};

/** Parts are identified by what requests see of them: two of the same identity are numbered. */
const listParts = (configuration: types.RouteConfiguration): ReadonlyMap<string, Part> => {
    const parts = new Map<string, Part>();
    const add = (identity: string, part: Part): void => {
        let count = 1;
        while (parts.has(`${identity} ${count}`)) {
            count++;
        }
        parts.set(`${identity} ${count}`, part);
    };
    for (const { host, prefix, services, ...fields } of configuration.routes) {
        const split = services.map(({ service, weight }) => `${service} ${weight}`);
        add(`route ${host}${prefix}`, {
            where: `route ${host}${prefix}`,
            fields: { ...fields, services: split },
            keys: [],
        });
    }
    for (const { name, healthPath, coldPerSecond } of configuration.services) {
        const fields = { healthPath, coldPerSecond: Number.isFinite(coldPerSecond) ? coldPerSecond : undefined };
        add(`service ${name}`, { where: `service "${name}"`, fields, keys: [] });
    }
    for (const { name, keys, ...fields } of configuration.organisations ?? []) {
        add(`organisation ${name}`, { where: `organisation "${name}"`, fields, keys });
    }
    add("limits", { where: "limits", fields: { ...configuration.limits }, keys: [] });
    const needsKeys = configuration.organisations !== undefined;
    add("callers", { where: "callers", fields: { needsKeys }, keys: [] });
    return parts;
};

/**
 * Compares two configurations, apart from their versions.
 *
 * @param current - the configuration in force
 * @param next - the configuration that is to follow
 * @returns the changes, those of the first configuration first
 */
export const compareConfigurations = (
    current: types.RouteConfiguration,
    next: types.RouteConfiguration,
): readonly ConfigurationChange[] => {
    const [before, after] = [listParts(current), listParts(next)];
    const changes: ConfigurationChange[] = [];
    for (const [identity, part] of before) {
        const other = after.get(identity);
        if (other === undefined) {
            changes.push({ kind: "removed", where: part.where, fields: [] });
            continue;
        }
        const fields = [...compareFields(part.fields, other.fields), ...compareKeys(part.keys, other.keys)];
        if (fields.length > 0) {
            changes.push({ kind: "changed", where: part.where, fields });
        }
    }
    for (const [identity, part] of after) {
        if (!before.has(identity)) {
            changes.push({ kind: "added", where: part.where, fields: [] });
        }
    }
    return changes;
};
