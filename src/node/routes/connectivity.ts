/**
 * The way from this VM to the targets: whether there is one, and what happens to requests while there is none.
 */
import * as activeVmSelection from "../../common/routes/activeVmSelection.js";
import * as checkableTargets from "../../common/routes/checkableTargets.js";
import * as events from "../../common/events.js";
import * as random from "../../common/random.js";
import * as targetLimits from "../../common/routes/targetLimits.js";
import * as targetReach from "../../common/routes/targetReach.js";
import * as targetSet from "../../common/routes/targetSet.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as metrics from "./metrics.js";
import * as peerRelay from "./peerRelay.js";
import * as targetSender from "./targetSender.js";
import * as types from "./Types.js";

/** A check of whether a target is reached ends after this time. */
const checkTimeoutMs = 500;

export interface Connectivity {
    readonly reach: targetReach.TargetReach;
    readonly relay: peerRelay.PeerRelay;
    /** Fires when this VM has noticed that it reaches no target, and another VM does. */
    readonly onDidLoseTargets: shared.Event<void>;
    /**
     * Finds out whether a target has ended: it takes no connections, or another one has its address.
     *
     * @param registration - the target
     * @param lostAtMs - when a request to it was lost
     * @returns false if it lives, or may live
     */
    hasEnded(registration: routes.Registration, lostAtMs: number): Promise<boolean>;
}

export interface ConnectivityOptions {
    readonly settings: Pick<types.RouteSettings, "vm" | "zone">;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly set: targetSet.TargetSet;
    readonly limits: targetLimits.TargetLimits;
    readonly services: ReadonlyMap<shared.ServiceName, routes.RoutedService>;
    readonly metrics: Pick<metrics.RouteMetrics, "recordRelay">;
    readonly sender: Pick<targetSender.TargetSender, "sendProbe" | "startRelayed">;
    /** Seed of the random numbers. */
    readonly seed: number;
    /** Whether clients use this VM. */
    isActive(): boolean;
    listActiveVms(): readonly routes.Peer[];
    listPeers(): readonly routes.Peer[];
}

/**
 * Creates the connectivity of a VM; its checks are not started.
 *
 * @param options - the targets, the other VMs, and how to send to both
 * @returns the connectivity
 */
export const createConnectivity = (options: ConnectivityOptions): Connectivity => {
    const { settings, scheduler, logger, set, limits, services, sender } = options;
    const source = random.createRandom(options.seed);
    const lostTargetsEmitter = events.createEmitter<void>();

    const isUsable = (peer: routes.Peer): boolean => peer.vm !== settings.vm && activeVmSelection.canServe(peer);

    const listUsablePeers = (): readonly routes.Peer[] => options.listPeers().filter(isUsable);

    const probe = (registration: routes.Registration, onNewConnection: boolean): Promise<targetSender.ProbeResult> => {
        const path = services.get(registration.service)?.healthPath ?? "/";
        return sender.sendProbe({ registration, path, timeoutMs: checkTimeoutMs, onNewConnection });
    };

    const listTargets = (): readonly routes.Registration[] =>
        checkableTargets.listCheckableTargets({ set, limits, clock: scheduler });

    const hasEnded = async (registration: routes.Registration, lostAtMs: number): Promise<boolean> => {
        // Many requests end late while targets are overloaded; those that go on responding are not asked.
        const run = set.findRun(registration.id, registration.startedAtMs);
        if (run !== undefined && run.respondedAtMs > lostAtMs) {
            return false;
        }
        const result = await probe(registration, true);
        switch (result.kind) {
            case "response":
                return result.head.target !== undefined && result.head.target !== registration.id;
            case "unreachable":
                // A VM that opens no connections cannot tell, but passes equal requests on to VMs that can.
                return (await reach.confirmNewConnections()) || listUsablePeers().length === 0;
            case "silent":
                return false;
        }
    };

    const reach = targetReach.createTargetReach({
        scheduler,
        random: source,
        logger,
        zone: settings.zone,
        listTargets,
        isActive: options.isActive,
        check: async (registration, onNewConnection) => (await probe(registration, onNewConnection)).kind,
    });
    reach.onDidChange(isCutOff => {
        if (isCutOff && listUsablePeers().length > 0) {
            lostTargetsEmitter.fire();
        }
    });
    const relay = peerRelay.createPeerRelay({
        scheduler,
        logger,
        random: source,
        zone: settings.zone,
        metrics: options.metrics,
        sender,
        listPeers: listUsablePeers,
        listActiveVms: () => options.listActiveVms().filter(isUsable),
    });
    return { reach, relay, onDidLoseTargets: lostTargetsEmitter.event, hasEnded };
};
