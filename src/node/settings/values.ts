/**
 * Kinds of values that settings can have.
 */
import * as net from "node:net";
import * as fields from "../../common/config/fields.js";
import * as ids from "../../common/ids.js";
import * as types from "../../common/Types.js";

/** Reads the text of a value. */
export interface ValueKind<T> {
    /** What is allowed, as it is printed after "allowed is". */
    readonly allowed: string;
    /** Returns undefined if the text is not allowed. */
    parse(text: string): T | undefined;
}

/**
 * Creates a kind of whole numbers.
 *
 * @param min - smallest number
 * @param max - greatest number
 * @returns the kind
 */
export const createInteger = (min: number, max: number): ValueKind<number> => ({
    allowed: `a whole number from ${min} to ${max}`,
    parse: text => {
        const value = Number(text);
        return /^\d+$/.test(text) && value >= min && value <= max ? value : undefined;
    },
});

/**
 * Creates a kind of which all values are known.
 *
 * @param values - the values
 * @returns the kind
 */
export const createChoice = <T extends string>(values: readonly T[]): ValueKind<T> => ({
    allowed: values.map(value => `\`${value}\``).join(", "),
    parse: text => values.find(value => value === text),
});

/**
 * Creates a kind of names.
 *
 * @param toId - brands the name
 * @returns the kind
 */
export const createName = <T>(toId: (text: string) => T): ValueKind<T> => ({
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

/** The address is given to callers and peers, so it cannot stand for all interfaces. */
export const address: ValueKind<types.Address> = {
    allowed: "`ip:port` with a port from 1 to 65535, an IPv6 address in brackets, and not `0.0.0.0` or `[::]`",
    parse: text => (fields.isNumericAddress(text) && !isUnspecified(text) ? ids.toAddress(text) : undefined),
};

/** Base URL of HTTP services. */
export const httpUrl: ValueKind<string> = {
    allowed: "a URL as in `http://10.0.0.5:7000`, without a path",
    parse: text => {
        if (!URL.canParse(text)) {
            return undefined;
        }
        const url = new URL(text);
        const isPlain = url.pathname === "/" && url.search === "" && url.hash === "" && url.username === "";
        return isPlain && /^https?:$/.test(url.protocol) ? url.origin : undefined;
    },
};
