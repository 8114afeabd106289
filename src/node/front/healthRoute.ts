/**
 * `GET /health`.
 */
import type * as http from "node:http";
import * as blackboard from "../../common/blackboard/Types.js";

/**
 * Creates the handler of health checks.
 *
 * @param board - the blackboard, for lifecycle and configuration revision
 * @param isFresh - whether calls may be dispatched
 * @returns the handler; it responds with 200 while calls are served, else with 503
 */
export const createHealthRoute =
    (board: blackboard.Blackboard, isFresh: () => boolean) =>
    (_request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const lifecycle = board.lifecycle.get();
        const isServing = lifecycle === "serving" && isFresh();
        response.writeHead(isServing ? 200 : 503, { "content-type": "application/json" });
        const revision = board.freshness.get().revision;
        response.end(`${JSON.stringify({ lifecycle, fresh: isFresh(), revision, vm: board.self.vm })}\n`);
        return Promise.resolve();
    };
