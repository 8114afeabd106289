/**
 * Classifies requests as idempotent or not.
 */
import * as config from "./Types.js";

export interface RequestMatcher {
    /**
     * Checks whether a request is idempotent, so that it may run more than once.
     *
     * @param method - HTTP method
     * @param path - path relative to the service; the query is ignored
     * @returns false unless the request is known to be idempotent
     */
    isIdempotent(method: string, path: string): boolean;
}

const safeMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);
const methodWildcard = "*";

/** The path patterns of one method: exact paths in a set, paths with wildcards combined in one regular expression. */
interface MethodPatterns {
    readonly exact: ReadonlySet<string>;
    readonly wildcard: RegExp | undefined;
}

type PatternTable = ReadonlyMap<string, MethodPatterns>;

const toRegExpSource = (path: string): string => {
    const segments = path
        .split("/")
        .slice(1)
        .map(segment => {
            switch (segment) {
                case "**":
                    return "(?:/.*)?";
                case "*":
                    return "/[^/]+";
                default:
                    return `/${segment.replace(/[.*+?^${}()|[\]\\]/g, "\\$&")}`;
            }
        });
    return segments.join("");
};

const createMethodPatterns = (paths: readonly string[]): MethodPatterns => {
    const wildcards = paths.filter(path => path.includes("*"));
    return {
        exact: new Set(paths.filter(path => !path.includes("*"))),
        wildcard:
            wildcards.length === 0 ? undefined : new RegExp(`^(?:${wildcards.map(toRegExpSource).join("|")})$`, "s"),
    };
};

const createPatternTable = (patterns: readonly config.RequestPattern[]): PatternTable => {
    const pathsByMethod = new Map<string, string[]>();
    for (const pattern of patterns) {
        const paths = pathsByMethod.get(pattern.method) ?? [];
        paths.push(pattern.path);
        pathsByMethod.set(pattern.method, paths);
    }
    return new Map([...pathsByMethod].map(([method, paths]) => [method, createMethodPatterns(paths)]));
};

const isMethodMatch = (patterns: MethodPatterns | undefined, path: string): boolean =>
    patterns !== undefined && (patterns.exact.has(path) || patterns.wildcard?.test(path) === true);

const isTableMatch = (table: PatternTable, method: string, path: string): boolean =>
    table.size > 0 && (isMethodMatch(table.get(method), path) || isMethodMatch(table.get(methodWildcard), path));

const toPathWithoutQuery = (path: string): string => {
    const end = path.search(/[?#]/);
    return end < 0 ? path : path.slice(0, end);
};

// Matches paths that a server may interpret differently because of encoding or normalization.
const ambiguousPathRegExp = /[%\\;]|\/\/|\/\.|.\/$/;

const toDecodedPath = (path: string): string => {
    try {
        return decodeURIComponent(path);
    } catch {
        return path;
    }
};

const toResolvedPath = (path: string): string => {
    const resolved: string[] = [];
    for (const segment of toDecodedPath(path).replaceAll("\\", "/").split("/")) {
        const name = segment.split(";", 1)[0] ?? "";
        if (name === "..") {
            resolved.pop();
        } else if (name !== "" && name !== ".") {
            resolved.push(name);
        }
    }
    return `/${resolved.join("/")}`;
};

/**
 * Creates a matcher from the patterns of a service.
 *
 * A server may decode and normalize the path before it handles the request. A request is therefore non-idempotent if
 * either the original or the resolved path matches a non-idempotent pattern, and idempotent only if both paths match.
 *
 * @param section - the section of the service
 * @returns the matcher
 */
export const createRequestMatcher = (
    section: Pick<config.ServiceSection, "idempotent" | "nonIdempotent">,
): RequestMatcher => {
    const idempotent = createPatternTable(section.idempotent);
    const nonIdempotent = createPatternTable(section.nonIdempotent);
    return {
        isIdempotent: (method, fullPath) => {
            const path = toPathWithoutQuery(fullPath);
            const resolved = ambiguousPathRegExp.test(path) ? toResolvedPath(path) : path;
            const isSame = resolved === path;
            if (
                isTableMatch(nonIdempotent, method, path) ||
                (!isSame && isTableMatch(nonIdempotent, method, resolved))
            ) {
                return false;
            }
            if (safeMethods.has(method)) {
                return true;
            }
            return isTableMatch(idempotent, method, path) && (isSame || isTableMatch(idempotent, method, resolved));
        },
    };
};
