/**
 * What the end of a response's body says about the target and the request.
 */
import * as targetPool from "../../common/routes/targetPool.js";
import * as bodyForwarding from "./bodyForwarding.js";
import * as exchangeLog from "./exchangeLog.js";
import * as exchangeOptions from "./exchangeOptions.js";
import * as exchangeRequest from "./exchangeRequest.js";
import * as guards from "./guard.js";
import * as types from "./Types.js";

/**
 * Watches the body until its end, which is logged. A target may also end in the middle of a response, and only a whole one
 * shows that the request does not crash targets.
 *
 * @param response - the response's body, and the attempt and request that it belongs to
 */
export const watchResponseBody = (response: {
    readonly options: exchangeOptions.ExchangeOptions;
    readonly request: exchangeRequest.ExchangeRequest;
    readonly reservation: targetPool.Reservation;
    readonly body: types.ResponseBody;
    readonly isSuccess: boolean;
    readonly log: exchangeLog.ExchangeLog;
    readonly guard: guards.Guard;
}): void => {
    const { options, request, reservation, body, isSuccess, log } = response;
    const { registration } = reservation;
    bodyForwarding.watchBody({
        scheduler: options.scheduler,
        body,
        limits: request,
        handleEnd: response.guard(end => {
            log.logBody(reservation, end);
            if (end.kind === "broken") {
                options.targets.recordBrokenBody(registration.id);
                options.recordLoss(request.fingerprint, registration);
            } else if (end.kind === "whole" && isSuccess) {
                options.crashes.recordSuccess(request.fingerprint, registration.service);
            }
        }),
    });
};
