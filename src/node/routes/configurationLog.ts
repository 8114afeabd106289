/**
 * Logs and counts a configuration that comes into force, and what of it is malformed or not known.
 */
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as metrics from "./metrics.js";

/**
 * Logs a configuration.
 *
 * @param options - log and counter
 * @param configuration - the configuration
 */
export const logConfiguration = (
    options: {
        readonly logger: shared.Logger;
        readonly metrics: Pick<metrics.RouteMetrics, "recordUnknownValue">;
    },
    configuration: routes.RouteConfiguration,
): void => {
    const { logger } = options;
    const { version, organisations, organisationFaults = [] } = configuration;
    logger.info("config: applied", {
        version,
        routes: configuration.routes.length,
        organisations: organisations?.length,
    });
    for (const unknown of configuration.unknownValues) {
        logger.warn("config: unknown value", { version, ...unknown });
        options.metrics.recordUnknownValue(unknown.field);
    }
    for (const fault of organisationFaults) {
        logger.warn("config: malformed organisation", { version, ...fault });
        options.metrics.recordUnknownValue("organisation");
    }
};
