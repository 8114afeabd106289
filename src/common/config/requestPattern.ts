/**
 * Request patterns, written `METHOD /path`.
 */
import * as config from "./Types.js";

const methodRegExp = /^(\*|[A-Z]+)$/;
const patternRegExp = /^(\S+) (\S+)$/;
// Paths are matched in decoded form and without query and fragment, so these characters would never match.
const forbiddenCharactersRegExp = /[%?#\\;]/;

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
    if (forbiddenCharactersRegExp.test(path)) {
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
 * Validates a request pattern.
 *
 * @param pattern - the pattern to check
 * @returns an error message, or undefined if the pattern is valid
 */
export const checkRequestPattern = (pattern: config.RequestPattern): string | undefined => {
    if (!methodRegExp.test(pattern.method)) {
        return `the method "${pattern.method}" is neither upper case letters nor "*"`;
    }
    const fault = checkPath(pattern.path);
    return fault === undefined ? undefined : `the path "${pattern.path}" ${fault}`;
};

/**
 * Parses a request pattern without validating it.
 *
 * @param text - method and path, separated by one space
 * @returns the pattern, or undefined if the text does not have this form
 */
export const parseRequestPattern = (text: string): config.RequestPattern | undefined => {
    const match = patternRegExp.exec(text);
    const [, method, path] = match ?? [];
    return method === undefined || path === undefined ? undefined : { method, path };
};
