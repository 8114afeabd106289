/**
 * Definitions of the entry daemon's settings. `docs/settings.md` is generated from them.
 */
import * as ids from "../../common/ids.js";
import * as settings from "./Types.js";
import * as values from "./values.js";

export interface SettingDefinition<T> {
    readonly kind: values.ValueKind<T>;
    readonly description: string;
    readonly unit: string;
    /** Undefined if the setting is required or derived from another one. */
    readonly defaultText: string | undefined;
    /** Shown in place of a default: `required`, or how the value is derived. */
    readonly defaultNote?: string;
}

type Definitions = { readonly [K in keyof settings.EntrySettings]: SettingDefinition<settings.EntrySettings[K]> };

/** The longest call lasts 600 s; the remaining 10 s are for writing its response. */
const defaultDrainTimeoutMs = 610_000;
const mebibyte = 1024 * 1024;

const createDurationSetting = (
    min: number,
    max: number,
    defaultMs: number,
    description: string,
): SettingDefinition<number> => ({
    kind: values.createIntegerKind(min, max),
    description,
    unit: "ms",
    defaultText: String(defaultMs),
});

/** Definitions by field of {@link settings.EntrySettings}, in documentation order. */
export const definitions: Definitions = {
    zone: {
        kind: values.createNameKind(ids.toZoneName),
        description: "Availability zone of this VM, as named in `topology.yaml`.",
        unit: "",
        defaultText: undefined,
        defaultNote: "required",
    },
    vm: {
        kind: values.createNameKind(ids.toVmId),
        description: "Name of this VM, as on the platform's list.",
        unit: "",
        defaultText: undefined,
        defaultNote: "from `--listen`, as in `127.0.0.1-8080`",
    },
    listen: {
        kind: values.addressKind,
        description: "Address for callers. Lookup responses name it.",
        unit: "",
        defaultText: "127.0.0.1:8080",
    },
    control: {
        kind: values.addressKind,
        description: "Address of the control port, for peers and operators. Callers must not reach it.",
        unit: "",
        defaultText: "127.0.0.1:9080",
    },
    advertiseControl: {
        kind: values.addressKind,
        description: "Address by which peers reach the control port, if it is not the one on which it listens.",
        unit: "",
        defaultText: undefined,
        defaultNote: "the value of `--control`",
    },
    platform: {
        kind: values.httpUrlKind,
        description: "Base URL of the platform's services.",
        unit: "",
        defaultText: "http://127.0.0.1:7000",
    },
    logLevel: {
        kind: values.createChoiceKind(["debug", "info", "warn", "error", "silent"]),
        description: "Least severe log lines that are written.",
        unit: "",
        defaultText: "info",
    },
    logFormat: {
        kind: values.createChoiceKind(["text", "json"]),
        description: "Form of the log lines.",
        unit: "",
        defaultText: "text",
    },
    freshnessMs: createDurationSetting(
        100,
        10_000,
        3_000,
        "Longest use of a configuration without a confirmation. Equal on all entry VMs: zones leave within this time.",
    ),
    headPollMs: createDurationSetting(50, 5_000, 1_000, "Time between two reads of the row `config/head`."),
    gossipIntervalMs: createDurationSetting(50, 10_000, 1_000, "Time between two pulls of the member table."),
    memberTimeoutMs: createDurationSetting(
        100,
        60_000,
        5_000,
        "A member counts as live while the newest information about it is at most this old.",
    ),
    lookupTtlMs: createDurationSetting(100, 60_000, 5_000, "Time for which callers may use a lookup response."),
    drainTimeoutMs: createDurationSetting(
        0,
        3_600_000,
        defaultDrainTimeoutMs,
        "Longest time for calls in flight after SIGTERM. Exceeds the longest deadline of a call, 600000 ms.",
    ),
    maxKeys: {
        kind: values.createIntegerKind(1, 10_000_000),
        description: "Idempotency keys that are remembered at most.",
        unit: "keys",
        defaultText: "200000",
    },
    keptAnswerBytes: {
        kind: values.createIntegerKind(0, 1024 * mebibyte),
        description: "Memory for responses that are kept for resends.",
        unit: "bytes",
        defaultText: String(8 * mebibyte),
    },
    keyRetentionMs: createDurationSetting(
        1_000,
        86_400_000,
        600_000,
        "Time for which an idempotency key is remembered.",
    ),
    coldLeaseMs: createDurationSetting(
        1_000,
        60_000,
        10_000,
        "Duration of the lease on a cold target. Equal on all entry VMs, because a contender waits for it.",
    ),
};

export type SettingField = keyof settings.EntrySettings;

/**
 * Lists the fields of the settings.
 *
 * @returns the fields in documentation order
 */
export const listSettingFields = (): SettingField[] => Object.keys(definitions) as SettingField[];

/**
 * Converts a field name to the flag of its setting.
 *
 * @param field - field of the settings
 * @returns the flag, for example `--head-poll-ms`
 */
export const toFlag = (field: SettingField): string =>
    `--${field.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;

/**
 * Converts a field name to the environment variable of its setting.
 *
 * @param field - field of the settings
 * @returns the variable, for example `TARRAGONPATH_HEAD_POLL_MS`
 */
export const toVariable = (field: SettingField): string =>
    `TARRAGONPATH_${toFlag(field).slice(2).replaceAll("-", "_").toUpperCase()}`;
