/**
 * Assembles the components that handle a call.
 */
import * as blackboard from "../../common/blackboard/Types.js";
import * as claimKeys from "../../common/claims/keys.js";
import * as claims from "../../common/claims/Types.js";
import * as requestMatcher from "../../common/config/requestMatcher.js";
import * as crashes from "../../common/crashes/Types.js";
import * as fingerprints from "../../common/crashes/fingerprint.js";
import * as retryBudgets from "../../common/limits/retryBudget.js";
import * as membership from "../../common/membership/Types.js";
import * as routing from "../../common/routing/Types.js";
import * as shared from "../../common/Types.js";
import * as forward from "../forward/Types.js";
import * as callHandlers from "../front/callHandler.js";
import * as callRunners from "../front/callRunner.js";
import * as front from "../front/Types.js";
import * as latencyTrackers from "../front/latencyTracker.js";
import * as peerForwarders from "../front/peerForwarder.js";
import * as targetForwarders from "../front/targetForwarder.js";
import * as unsafeSwitches from "./unsafeSwitches.js";

export interface CallPathOptions {
    readonly board: blackboard.Blackboard;
    readonly scheduler: shared.Scheduler;
    readonly dispatcher: routing.Dispatcher;
    readonly sender: forward.Sender;
    readonly claims: claims.ClaimController;
    readonly crashes: crashes.CrashRegistry;
    readonly traces: front.TraceStore;
    readonly logger: shared.Logger;
    isFresh(): boolean;
    /** Reports a crash to the other entry VMs. */
    publishCrash(fingerprint: string, count: number): Promise<void>;
    readonly unsafe: unsafeSwitches.UnsafeSwitches;
}

const maxOtherAddresses = 5;

/** Compiles one matcher per section; a changed section is a new object. */
const createIdempotencyLookup = (
    board: blackboard.Blackboard,
): ((service: shared.ServiceName, method: string, path: string) => boolean) => {
    const matchers = new WeakMap<object, requestMatcher.RequestMatcher>();
    return (name, method, path) => {
        const section = board.configuration.get()?.services.get(name);
        if (section === undefined) {
            return false;
        }
        let matcher = matchers.get(section);
        if (matcher === undefined) {
            matcher = requestMatcher.createRequestMatcher(section);
            matchers.set(section, matcher);
        }
        return matcher.isIdempotent(method, path);
    };
};

const computeFingerprint = (call: front.Call): string =>
    fingerprints.computeFingerprint({
        addressee: call.head.service,
        method: call.head.method,
        path: call.head.path,
        query: "",
        bodyLength: call.body.length ?? -1,
        bodyStart: call.body.prefix,
    });

/**
 * Creates the call handler and the components that it uses.
 *
 * @param options - components shared with other controllers
 * @returns the call handler
 */
export const createCallPath = (options: CallPathOptions): callHandlers.CallHandler => {
    const { board, scheduler, traces } = options;
    const latencyTracker = latencyTrackers.createLatencyTracker(scheduler);
    const forwarderOptions: front.ForwarderOptions = {
        scheduler,
        logger: options.logger,
        sender: options.sender,
        crashes: {
            isEmpty: () => options.unsafe.has("no-crash-count") || options.crashes.isEmpty(),
            isBlocked: options.crashes.isBlocked,
            recordCrash: (fingerprint, target) =>
                options.publishCrash(fingerprint, options.crashes.recordCrash(fingerprint, target)),
            recordSuccess: options.crashes.recordSuccess,
        },
        traces,
        isFresh: options.isFresh,
        computeFingerprint,
        getResponseTimeoutMs: latencyTracker.getResponseTimeoutMs,
        recordLatency: latencyTracker.record,
        unsafe: options.unsafe,
    };
    const peerForwarder = peerForwarders.createPeerForwarder(forwarderOptions);
    const runner = callRunners.createCallRunner({
        dispatcher: options.dispatcher,
        targetForwarder: targetForwarders.createTargetForwarder(forwarderOptions),
        peerForwarder,
        retryBudget: retryBudgets.createRetryBudget({ scheduler }),
        crashes: forwarderOptions.crashes,
        traces,
        computeFingerprint,
        unsafe: options.unsafe,
    });

    const listOtherServingMembers = (): membership.Member[] =>
        [...board.members.get().values()].filter(
            member => member.info.vm !== board.self.vm && member.info.state === "serving",
        );

    return callHandlers.createCallHandler({
        self: board.self,
        scheduler,
        claims: options.claims,
        runner,
        peerForwarder,
        traces,
        unsafe: options.unsafe,
        logger: options.logger,
        isFresh: options.isFresh,
        isLeaving: () => board.lifecycle.get() !== "serving",
        findService: name => board.configuration.get()?.services.get(name),
        isIdempotent: createIdempotencyLookup(board),
        computeSignature: claimKeys.computeSignature,
        findIncarnation: incarnation =>
            [...board.members.get().values()].find(member => member.info.incarnation === incarnation),
        listOtherAddresses: () =>
            listOtherServingMembers()
                .slice(0, maxOtherAddresses)
                .map(member => member.info.address),
    });
};
