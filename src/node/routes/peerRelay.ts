/**
 * Passes requests on to other VMs while this VM reaches no target. Clients keep the addresses of VMs for seconds, so that
 * requests still arrive when lookups have stopped naming this VM. A request that was passed on is not passed on again.
 */
import * as random from "../../common/random.js";
import * as routeKind from "../../common/routes/routeKind.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as bodyForwarding from "./bodyForwarding.js";
import * as exchangeRequest from "./exchangeRequest.js";
import * as metrics from "./metrics.js";
import * as notRun from "./notRun.js";
import * as responseBodies from "./responseBodies.js";
import * as targetConnection from "./targetConnection.js";
import * as targetSender from "./targetSender.js";

/** VMs to which a request is offered; the next one only if one does not take it. */
const maxOfferedPeers = 3;
/** A VM takes a request within the way there and back, also between zones; one that is frozen does not. */
const takeTimeoutMs = 150;
/** A VM that has not taken a request is tried last for this time; VMs that are gone leave the list of peers by then. */
const avoidanceMs = 1_500;
/** The other VM responds at the deadline; this time allows for the way between the VMs. */
const deadlineMarginMs = 50;

/** How a request has ended at another VM that has taken it. */
export type RelayEnd =
    | { readonly kind: "relayed"; readonly response: targetConnection.TargetResponse }
    | Extract<exchangeRequest.FinalResponse, { kind: "refused" | "failed" | "abandoned" }>;

export type RequestHistory = Omit<exchangeRequest.Unreached, "kind">;

export interface PeerRelay {
    /**
     * Passes a request on.
     *
     * @param request - the request
     * @param history - targets at which the other VM may run it, and whether it may have run already
     * @returns the end; undefined if no VM has taken it, so that the request has not run there
     */
    run(request: exchangeRequest.ExchangeRequest, history: RequestHistory): Promise<RelayEnd | undefined>;
}

export interface PeerRelayOptions {
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly random: shared.Random;
    readonly zone: shared.ZoneName;
    readonly metrics: Pick<metrics.RouteMetrics, "recordRelay">;
    readonly sender: Pick<targetSender.TargetSender, "startRelayed">;
    /** All VMs that reach targets. */
    listPeers(): readonly routes.Peer[];
    /** The active ones of them, which have open connections to targets. */
    listActiveVms(): readonly routes.Peer[];
}

/** Status of a VM's own response to a request whose caller it does not know. */
const unidentifiedStatus = 401;
/** A VM gets the configuration of another one within about this time. */
const unidentifiedRetryAfterMs = 500;

/** Whether the other VM states that the request has not run, which it knows of its own attempts only. */
const isOwnRefusal = ({ statusCode, head }: targetConnection.TargetResponse): boolean =>
    !head.isSigned && notRun.isNotRunStatus(statusCode);

/**
 * Whether the other VM does not know the caller, who needs no key here or is identified. One of the two configurations is
 * older, so that the client must come back to learn which, which it would not after 401.
 */
const isUnidentified = ({ statusCode, head }: targetConnection.TargetResponse): boolean =>
    !head.isSigned && statusCode === unidentifiedStatus;

/** Whether a target's status tells the client that its request has not run, which the target does not state. */
const isUnfoundedRefusal = ({ statusCode, head }: targetConnection.TargetResponse): boolean =>
    head.isSigned && !head.isRefusal && notRun.isNotRunStatus(statusCode);

/**
 * Creates the relay.
 *
 * @param options - the other VMs, and how to send to them
 * @returns the relay
 */
export const createPeerRelay = (options: PeerRelayOptions): PeerRelay => {
    const { scheduler, logger } = options;
    const avoidedUntilMs = new Map<shared.VmId, number>();

    const isAvoided = ({ vm }: routes.Peer): boolean => (avoidedUntilMs.get(vm) ?? 0) > scheduler.now();

    const avoid = ({ vm }: routes.Peer): void => {
        const nowMs = scheduler.now();
        for (const [other, untilMs] of avoidedUntilMs) {
            if (untilMs <= nowMs) {
                avoidedUntilMs.delete(other);
            }
        }
        avoidedUntilMs.set(vm, nowMs + avoidanceMs);
    };

    /** Picks a VM that takes requests, an active one if there is one, and a near one of these; otherwise at random. */
    const pickPeer = (offered: ReadonlySet<shared.VmId>): routes.Peer | undefined => {
        const isLeft = ({ vm }: routes.Peer): boolean => !offered.has(vm);
        const activeVms = options.listActiveVms().filter(peer => isLeft(peer) && !isAvoided(peer));
        const candidates = activeVms.length > 0 ? activeVms : options.listPeers().filter(isLeft);
        const computeRank = (peer: routes.Peer): number =>
            2 * Number(isAvoided(peer)) + Number(peer.zone !== options.zone);
        return random
            .shuffle(candidates, options.random)
            .sort((left, right) => computeRank(left) - computeRank(right))[0];
    };

    /** Sends a request to one VM; undefined if it has not taken it. */
    const sendToPeer = async (
        peer: routes.Peer,
        request: exchangeRequest.ExchangeRequest,
        { maxTargets, mayHaveRun }: RequestHistory,
    ): Promise<RelayEnd | undefined> => {
        const { outgoing, route, deadlineAtMs, signal } = request;
        let hasPassedDeadline = false;
        const attempt = options.sender.startRelayed({
            address: peer.frontAddress,
            request: outgoing,
            maxTargets,
            configurationVersion: request.configurationVersion,
            takeTimeoutMs,
            getRemainingMs: () => deadlineAtMs - scheduler.now(),
            isIdempotent: routeKind.isIdempotent(route.kind),
        });
        const handleAbort = (): void => attempt.abort();
        signal.addEventListener("abort", handleAbort, { once: true });
        const timer = scheduler.schedule(Math.max(0, deadlineAtMs + deadlineMarginMs - scheduler.now()), () => {
            hasPassedDeadline = true;
            attempt.abort();
        });
        const result = await attempt.result;
        timer.dispose();
        signal.removeEventListener("abort", handleAbort);
        if (signal.aborted) {
            return { kind: "abandoned" };
        }
        switch (result.kind) {
            case "response":
                if (!mayHaveRun && isUnidentified(result.response)) {
                    const retryAfterMs = unidentifiedRetryAfterMs;
                    return { kind: "refused", reason: "caller not known to another VM", retryAfterMs };
                }
                if (mayHaveRun && (isOwnRefusal(result.response) || isUnidentified(result.response))) {
                    return { kind: "failed", reason: "refused after it may have run", statusCode: 502 };
                }
                if (!routeKind.isIdempotent(route.kind) && isUnfoundedRefusal(result.response)) {
                    responseBodies.destroyBody(result.response.body);
                    return { kind: "failed", reason: `status ${result.response.statusCode}`, statusCode: 502 };
                }
                return { kind: "relayed", response: result.response };
            case "broken":
                return { kind: "failed", reason: result.reason, statusCode: hasPassedDeadline ? 504 : 502 };
            case "unreachable":
            case "withdrawn":
                return undefined;
        }
    };

    return {
        run: async (request, history) => {
            const startedAtMs = scheduler.now();
            const offered = new Set<shared.VmId>();
            while (offered.size < maxOfferedPeers && scheduler.now() < request.deadlineAtMs) {
                // Other requests may have shown meanwhile which VMs take none.
                const peer = pickPeer(offered);
                if (peer === undefined) {
                    return undefined;
                }
                offered.add(peer.vm);
                const end = await sendToPeer(peer, request, history);
                if (end === undefined) {
                    avoid(peer);
                }
                const outcome = end?.kind ?? "not taken";
                options.metrics.recordRelay(outcome);
                logger.info("relay: request passed on", {
                    request: request.outgoing.id,
                    route: request.route.name,
                    service: request.service,
                    organisation: request.organisation,
                    vm: peer.vm,
                    end: outcome,
                    status: end?.kind === "relayed" ? end.response.statusCode : undefined,
                    latencyMs: Math.round(scheduler.now() - startedAtMs),
                });
                if (end?.kind === "relayed") {
                    bodyForwarding.watchBody({
                        scheduler,
                        body: end.response.body,
                        limits: request,
                        handleEnd: ({ kind, bytes }) =>
                            logger.info("relay: body ended", { request: request.outgoing.id, end: kind, bytes }),
                    });
                }
                if (end !== undefined) {
                    return end;
                }
            }
            return undefined;
        },
    };
};
