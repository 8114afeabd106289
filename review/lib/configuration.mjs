/** The operator's configuration of a small deployment. */
export const host = "jepu9.example";

/**
 * Creates the content of `op/config`.
 *
 * @param version - its number
 * @param routes - rows of prefix, type, timeout, objective, attempts and service
 */
export const createConfiguration = (version, routes) => ({
    Version: `r${version}`,
    Routes: {
        Columns: ["Host", "Prefix", "RouteType", "Timeout", "LatencySlo", "Priority", "MaxAttempts", "Service"],
        Rows: routes.map(([prefix, type, timeout, objective, attempts, service]) => [
            host,
            prefix,
            type,
            timeout,
            objective,
            1,
            attempts,
            service,
        ]),
    },
    Services: {
        Columns: ["Name", "HealthPath", "WarmupPerS"],
        Rows: [...new Set(routes.map(row => row[5]))].map(service => [service, "/health", 14]),
    },
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_048_576, HeaderTimeout: "3s", IdleTimeout: "15s" },
});
