/**
 * Patterns of requests, written `METHOD /path`.
 */
import * as config from "./Types.js";

const methodPattern = /^(\*|[A-Z]+)$/;
const textPattern = /^(\S+) (\S+)$/;
// Paths are matched in decoded form, so a percent sign, a query or a fragment would never match.
const forbiddenCharacters = /[%?#\\;]/;

const checkSegment = (segment: string, isLast: boolean): string | undefined => {
    if (segment === "") {
        return 'has an empty segment or ends in "/"';
    }
    if (segment === "." || segment === "..") {
        return 'has a "." or ".." segment';
    }
    if (segment === "**" && !isLast) {
        return 'has "**" before the last segment';
    }
    if (segment.includes("*") && segment !== "*" && segment !== "**") {
        return 'has "*" inside a segment; "*" stands for a whole segment';
    }
    return undefined;
};

const checkPath = (path: string): string | undefined => {
    if (!path.startsWith("/")) {
        return 'does not start with "/"';
    }
    if (forbiddenCharacters.test(path)) {
        return 'has one of the characters "%?#\\;"';
    }
    if (path === "/") {
        return undefined;
    }
    const segments = path.slice(1).split("/");
    for (const [index, segment] of segments.entries()) {
        const fault = checkSegment(segment, index === segments.length - 1);
        if (fault !== undefined) {
            return fault;
        }
    }
    return undefined;
};

/**
 * Checks a pattern.
 *
 * @param pattern - the pattern
 * @returns what is wrong with it, or undefined
 */
export const checkRequestPattern = (pattern: config.RequestPattern): string | undefined => {
    if (!methodPattern.test(pattern.method)) {
        return `the method "${pattern.method}" is neither upper case letters nor "*"`;
    }
    const fault = checkPath(pattern.path);
    return fault === undefined ? undefined : `the path "${pattern.path}" ${fault}`;
};

/**
 * Parses a pattern, without checking it.
 *
 * @param text - method and path with one space between them
 * @returns the pattern, or undefined if the text has another form
 */
export const parseRequestPattern = (text: string): config.RequestPattern | undefined => {
    const match = textPattern.exec(text);
    const [, method, path] = match ?? [];
    return method === undefined || path === undefined ? undefined : { method, path };
};
