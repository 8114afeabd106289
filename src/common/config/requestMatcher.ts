/**
 * Decides whether a request may run more than once.
 */
import * as config from "./Types.js";

export interface RequestMatcher {
    /**
     * Tells whether a request may run more than once.
     *
     * @param method - HTTP method
     * @param path - path below the service; a query is ignored
     * @returns false unless the request is known to be idempotent
     */
    isIdempotent(method: string, path: string): boolean;
}

const idempotentMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);
const anyMethod = "*";

/** Patterns of one method: those without wildcards by lookup, the others in one regular expression. */
interface MethodPatterns {
    readonly exact: ReadonlySet<string>;
    readonly wildcard: RegExp | undefined;
}

type PatternTable = ReadonlyMap<string, MethodPatterns>;

const toExpression = (path: string): string => {
    const escaped = path
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
    return escaped.join("");
};

const createMethodPatterns = (paths: readonly string[]): MethodPatterns => {
    const wildcards = paths.filter(path => path.includes("*"));
    return {
        exact: new Set(paths.filter(path => !path.includes("*"))),
        wildcard:
            wildcards.length === 0 ? undefined : new RegExp(`^(?:${wildcards.map(toExpression).join("|")})$`, "s"),
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

const isMatchOfMethod = (patterns: MethodPatterns | undefined, path: string): boolean =>
    patterns !== undefined && (patterns.exact.has(path) || patterns.wildcard?.test(path) === true);

const isMatch = (table: PatternTable, method: string, path: string): boolean =>
    table.size > 0 && (isMatchOfMethod(table.get(method), path) || isMatchOfMethod(table.get(anyMethod), path));

const toPathWithoutQuery = (path: string): string => {
    const end = path.search(/[?#]/);
    return end < 0 ? path : path.slice(0, end);
};

// A path that a server may read differently from how it is written.
const ambiguousPath = /[%\\;]|\/\/|\/\.|.\/$/;

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
 * Compiles the patterns of a service.
 *
 * A server may decode and resolve a path before it handles the request. A request therefore counts as non-idempotent if
 * the path as written or as resolved matches such a pattern, and as idempotent only if both match.
 *
 * @param section - the service
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
            const resolved = ambiguousPath.test(path) ? toResolvedPath(path) : path;
            const isSame = resolved === path;
            if (isMatch(nonIdempotent, method, path) || (!isSame && isMatch(nonIdempotent, method, resolved))) {
                return false;
            }
            if (idempotentMethods.has(method)) {
                return true;
            }
            return isMatch(idempotent, method, path) && (isSame || isMatch(idempotent, method, resolved));
        },
    };
};
