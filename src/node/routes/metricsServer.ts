/**
 * HTTP server for scraping the metrics.
 */
import * as http from "node:http";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as errorText from "../../common/errors/errorText.js";
import * as metrics from "./metrics.js";

export const metricsPath = "/metrics";

/**
 * Starts the metrics server. If its port cannot be opened, the load balancer runs without it.
 *
 * @param options - address and metrics
 * @returns disposing it closes the server
 */
export const listenForMetrics = (options: {
    readonly address: shared.Address;
    readonly metrics: Pick<metrics.RouteMetrics, "contentType" | "format">;
    readonly logger: shared.Logger;
}): shared.Disposable => {
    const { address, logger } = options;

    const sendMetrics = async (response: http.ServerResponse): Promise<void> => {
        const text = await options.metrics.format();
        response.writeHead(200, { "Content-Type": options.metrics.contentType }).end(text);
    };

    const server = http.createServer((request, response) => {
        request.resume();
        if (request.url !== metricsPath) {
            response.writeHead(404).end();
            return;
        }
        sendMetrics(response).catch((error: unknown) => {
            logger.error("metrics: formatting failed", { reason: errorText.toErrorText(error) });
            response.writeHead(500).end();
        });
    });
    server.on("error", error => logger.error("metrics: server failed", { address, reason: error.message }));
    const { host, port } = ids.splitAddress(address);
    server.listen({ host, port });
    return {
        dispose: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
