/**
 * The entry daemon's settings from flags and environment variables.
 */
import * as config from "../../common/config/Types.js";
import * as vmName from "../../common/config/vmName.js";
import * as definitions from "./definitions.js";
import * as settings from "./Types.js";

/** Texts of the flags by field of the settings. */
export type FlagValues = { readonly [K in definitions.SettingField]?: string | undefined };
export type Environment = Readonly<Record<string, string | undefined>>;

export type ParseSettingsResult =
    | { readonly kind: "valid"; readonly settings: settings.EntrySettings }
    | { readonly kind: "invalid"; readonly faults: readonly config.Fault[] };

interface GivenText {
    /** Flag or variable that gave it. */
    readonly source: string;
    readonly text: string;
}

const findText = (field: definitions.SettingField, flags: FlagValues, env: Environment): GivenText | undefined => {
    const flag = flags[field];
    if (flag !== undefined) {
        return { source: definitions.toFlag(field), text: flag };
    }
    // Process managers set variables without a value to the empty text.
    const variable = definitions.toVariable(field);
    const value = env[variable];
    if (value !== undefined && value !== "") {
        return { source: variable, text: value };
    }
    const text = definitions.definitions[field].defaultText;
    return text === undefined ? undefined : { source: definitions.toFlag(field), text };
};

interface Parsing {
    readonly values: Partial<Record<definitions.SettingField, unknown>>;
    readonly sources: Partial<Record<definitions.SettingField, string>>;
    readonly faults: config.Fault[];
}

const parseField = (parsing: Parsing, field: definitions.SettingField, given: GivenText): void => {
    const { kind, unit } = definitions.definitions[field];
    const value = kind.parse(given.text);
    if (value === undefined) {
        const unitText = unit === "" ? "" : ` (${unit})`;
        const message = `"${given.text}" is not allowed; allowed is ${kind.allowed}${unitText}`;
        parsing.faults.push({ where: given.source, message });
        return;
    }
    parsing.values[field] = value;
    parsing.sources[field] = given.source;
};

/** Relations between two settings without which the daemon could not work. */
const checkRelations = (parsing: Parsing): void => {
    const values = parsing.values as Partial<settings.EntrySettings>;
    const check = (isWrong: boolean, field: definitions.SettingField, message: string): void => {
        if (isWrong) {
            const where = parsing.sources[field] ?? definitions.toFlag(field);
            parsing.faults.push({ where, message: `"${String(values[field])}" is not allowed; ${message}` });
        }
    };
    const { listen, control, headPollMs = 0, freshnessMs = Infinity } = values;
    const { gossipIntervalMs = 0, memberTimeoutMs = Infinity } = values;
    check(listen !== undefined && listen === control, "control", "it must differ from --listen");
    check(headPollMs >= freshnessMs, "headPollMs", `it must be less than --freshness-ms, which is ${freshnessMs}`);
    check(
        gossipIntervalMs >= memberTimeoutMs,
        "gossipIntervalMs",
        `it must be less than --member-timeout-ms, which is ${memberTimeoutMs}`,
    );
};

/**
 * Parses the settings. A flag takes precedence over its environment variable, and that over the default.
 *
 * @param flags - texts of the flags that were given
 * @param env - the environment variables
 * @returns the settings, or all faults with the flag or variable, its value and what is allowed
 */
export const parseEntrySettings = (flags: FlagValues, env: Environment): ParseSettingsResult => {
    const parsing: Parsing = { values: {}, sources: {}, faults: [] };
    for (const field of definitions.listSettingFields()) {
        const given = findText(field, flags, env);
        if (given !== undefined) {
            parseField(parsing, field, given);
        }
    }
    if (findText("zone", flags, env) === undefined) {
        const where = `${definitions.toFlag("zone")} or ${definitions.toVariable("zone")}`;
        const message = `is required; allowed is ${definitions.definitions.zone.kind.allowed}`;
        parsing.faults.push({ where, message });
    }
    checkRelations(parsing);
    if (parsing.faults.length > 0) {
        return { kind: "invalid", faults: parsing.faults };
    }
    type Derived = "vm" | "advertiseControl";
    const values = parsing.values as Omit<settings.EntrySettings, Derived> &
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
