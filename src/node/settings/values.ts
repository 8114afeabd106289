/**
 * Parsers for the kinds of values that settings have.
 */
import * as net from "node:net";
import * as fields from "../../common/config/fields.js";
import * as ids from "../../common/ids.js";
import * as types from "../../common/Types.js";

/** Parses and validates one kind of value. */
export interface ValueKind<T> {
    /** Description of the allowed values, printed after "allowed is". */
    readonly allowed: string;
    /** Returns undefined if the value is not allowed. */
    parse(text: string): T | undefined;
}

/**
 * Creates the kind of value that is an integer in a range.
 *
 * @param min - smallest allowed number
 * @param max - greatest allowed number
 * @returns the kind
 */
export const createIntegerKind = (min: number, max: number): ValueKind<number> => ({
    allowed: `a whole number from ${min} to ${max}`,
    parse: text => {
        const value = Number(text);
        return /^\d+$/.test(text) && value >= min && value <= max ? value : undefined;
    },
});

/**
 * Creates the kind of value that is one of a fixed set.
 *
 * @param values - the allowed values
 * @returns the kind
 */
export const createChoiceKind = <T extends string>(values: readonly T[]): ValueKind<T> => ({
    allowed: values.map(value => `\`${value}\``).join(", "),
    parse: text => values.find(value => value === text),
});

/**
 * Creates the kind of value that is a name.
 *
 * @param toId - converts a valid name to its branded type
 * @returns the kind
 */
export const createNameKind = <T>(toId: (text: string) => T): ValueKind<T> => ({
    allowed: "1 to 63 lower-case letters, digits, dots, hyphens or underscores",
    parse: text => (ids.isName(text) ? toId(text) : undefined),
});

const unspecifiedHosts = new net.BlockList();
unspecifiedHosts.addAddress("0.0.0.0", "ipv4");
unspecifiedHosts.addAddress("::", "ipv6");

const isUnspecified = (text: string): boolean => {
    const host = text.slice(0, text.lastIndexOf(":")).replace(/^\[|\]$/g, "");
    return unspecifiedHosts.check(host, net.isIPv6(host) ? "ipv6" : "ipv4");
};

/** An address that callers and peers connect to, so it cannot be the wildcard address of all interfaces. */
export const addressKind: ValueKind<types.Address> = {
    allowed: "`ip:port` with a port from 1 to 65535, an IPv6 address in brackets, and not `0.0.0.0` or `[::]`",
    parse: text => (fields.isNumericAddress(text) && !isUnspecified(text) ? ids.toAddress(text) : undefined),
};

/** Base URL of an HTTP service. */
export const httpUrlKind: ValueKind<string> = {
    allowed: "a URL as in `http://10.0.0.5:7000`, without a path",
    parse: text => {
        if (!URL.canParse(text)) {
            return undefined;
        }
        const url = new URL(text);
        const isBaseUrl = url.pathname === "/" && url.search === "" && url.hash === "" && url.username === "";
        return isBaseUrl && /^https?:$/.test(url.protocol) ? url.origin : undefined;
    },
};
