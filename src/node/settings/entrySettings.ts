/**
 * Parses the entry daemon's settings from flags and environment variables.
 */
import * as config from "../../common/config/Types.js";
import * as vmName from "../../common/config/vmName.js";
import * as definitions from "./definitions.js";
import * as settings from "./Types.js";

/** Unparsed values of the flags by field of the settings. */
export type FlagValues = { readonly [K in definitions.SettingField]?: string | undefined };
export type Environment = Readonly<Record<string, string | undefined>>;

export type ParseSettingsResult =
    | { readonly kind: "valid"; readonly settings: settings.EntrySettings }
    | { readonly kind: "invalid"; readonly faults: readonly config.Fault[] };

interface RawValue {
    /** Flag or environment variable that the value comes from. */
    readonly source: string;
    readonly text: string;
}

const findRawValue = (field: definitions.SettingField, flags: FlagValues, env: Environment): RawValue | undefined => {
    const flag = flags[field];
    if (flag !== undefined) {
        return { source: definitions.toFlag(field), text: flag };
    }
    // Process managers set variables without a value to the empty string.
    const variable = definitions.toVariable(field);
    const value = env[variable];
    if (value !== undefined && value !== "") {
        return { source: variable, text: value };
    }
    const text = definitions.definitions[field].defaultText;
    return text === undefined ? undefined : { source: definitions.toFlag(field), text };
};

interface ParseState {
    readonly values: Partial<Record<definitions.SettingField, unknown>>;
    readonly sources: Partial<Record<definitions.SettingField, string>>;
    readonly faults: config.Fault[];
}

const parseField = (parseState: ParseState, field: definitions.SettingField, rawValue: RawValue): void => {
    const { kind, unit } = definitions.definitions[field];
    const value = kind.parse(rawValue.text);
    if (value === undefined) {
        const unitText = unit === "" ? "" : ` (${unit})`;
        const message = `"${rawValue.text}" is not allowed; allowed is ${kind.allowed}${unitText}`;
        parseState.faults.push({ where: rawValue.source, message });
        return;
    }
    parseState.values[field] = value;
    parseState.sources[field] = rawValue.source;
};

/** Checks constraints between two settings; the daemon cannot work if one is violated. */
const checkConstraints = (parseState: ParseState): void => {
    const values = parseState.values as Partial<settings.EntrySettings>;
    const checkConstraint = (isViolated: boolean, field: definitions.SettingField, message: string): void => {
        if (isViolated) {
            const where = parseState.sources[field] ?? definitions.toFlag(field);
            parseState.faults.push({ where, message: `"${String(values[field])}" is not allowed; ${message}` });
        }
    };
    const { listen, control, headPollMs = 0, freshnessMs = Infinity } = values;
    const { gossipIntervalMs = 0, memberTimeoutMs = Infinity } = values;
    checkConstraint(listen !== undefined && listen === control, "control", "it must differ from --listen");
    checkConstraint(
        headPollMs >= freshnessMs,
        "headPollMs",
        `it must be less than --freshness-ms, which is ${freshnessMs}`,
    );
    checkConstraint(
        gossipIntervalMs >= memberTimeoutMs,
        "gossipIntervalMs",
        `it must be less than --member-timeout-ms, which is ${memberTimeoutMs}`,
    );
};

/**
 * Parses the settings. A flag takes precedence over its environment variable, and that over the default.
 *
 * @param flags - unparsed values of the given flags
 * @param env - the environment variables
 * @returns the settings, or all faults, each with the flag or variable, its value and the allowed values
 */
export const parseEntrySettings = (flags: FlagValues, env: Environment): ParseSettingsResult => {
    const parseState: ParseState = { values: {}, sources: {}, faults: [] };
    for (const field of definitions.listSettingFields()) {
        const rawValue = findRawValue(field, flags, env);
        if (rawValue !== undefined) {
            parseField(parseState, field, rawValue);
        }
    }
    if (findRawValue("zone", flags, env) === undefined) {
        const where = `${definitions.toFlag("zone")} or ${definitions.toVariable("zone")}`;
        const message = `is required; allowed is ${definitions.definitions.zone.kind.allowed}`;
        parseState.faults.push({ where, message });
    }
    checkConstraints(parseState);
    if (parseState.faults.length > 0) {
        return { kind: "invalid", faults: parseState.faults };
    }
    type Derived = "vm" | "advertiseControl";
    const values = parseState.values as Omit<settings.EntrySettings, Derived> &
        Partial<Pick<settings.EntrySettings, Derived>>;
    return {
        kind: "valid",
        settings: {
            ...values,
            vm: values.vm ?? vmName.toVmFromAddress(values.listen),
            advertiseControl: values.advertiseControl ?? values.control,
        },
    };
};
