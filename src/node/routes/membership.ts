/**
 * This VM among its peers: registers it, follows a hub or the store, and passes on what it learns.
 */
import * as errorText from "../../common/errors/errorText.js";
import * as peerOrder from "../../common/routes/peerOrder.js";
import * as rate from "../../common/routes/rate.js";
import * as sharedState from "../../common/routes/sharedState.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as hubLink from "./hubLink.js";
import * as peerChannel from "./peerChannel.js";
import * as peerHub from "./peerHub.js";
import * as storeFollower from "./storeFollower.js";
import * as types from "./Types.js";

const storeTimeoutMs = 1_000;
/** A VM without peers asks the store for them after this time; at the start the seeds answer sooner. */
const lonelyMs = 1_500;
/** Time between two looks for peers in the store. */
const lookIntervalMs = 10_000;
const noAddress = "" as shared.Address;

export interface Membership extends shared.Disposable {
    start(): Promise<void>;
    /** Whether this VM is connected to a hub, or others are connected to it. */
    isConnected(): boolean;
    /** Age of this VM's own view of the store; infinite if it does not follow it. */
    computeStoreAgeMs(): number;
    /** VMs that live as far as this VM knows, oldest first; at least this one. */
    listPeers(): readonly routes.Peer[];
    /** Number of VMs that may live, whether they can be reached or not. */
    countKnown(): number;
    /** Tells the peers at once that this VM's readiness has changed. */
    sendHello(): void;
    sendCrash(report: peerChannel.CrashReport): void;
}

export interface MembershipOptions {
    readonly settings: types.RouteSettings;
    readonly incarnation: shared.IncarnationId;
    readonly store: types.StateStore;
    readonly state: sharedState.SharedState;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    isReady(): boolean;
    computeRequestRate(): number;
    handleCrashes(reports: readonly peerChannel.CrashReport[]): void;
}

/**
 * Creates the membership of a VM.
 *
 * @param options - settings, state and what to do with messages
 * @returns the membership, not started
 */
export const createMembership = (options: MembershipOptions): Membership => {
    const { settings, store, state, scheduler, logger } = options;
    const startedAtMs = Date.now();
    let isRegistered = false;
    let timer: shared.Disposable | undefined;

    const getOwn = (): routes.Peer => ({
        vm: settings.vm,
        incarnation: options.incarnation,
        zone: settings.zone,
        region: settings.region,
        frontAddress: settings.frontAddress ?? noAddress,
        peerAddress: settings.peerAddress ?? noAddress,
        startedAtMs,
        isSeed: settings.peerAddress !== undefined && settings.seeds.includes(settings.peerAddress),
        cores: settings.cores,
        isReady: options.isReady() && settings.frontAddress !== undefined,
        requestsPerSecond: rate.roundRate(options.computeRequestRate()),
    });

    const follower = storeFollower.createStoreFollower({
        store,
        state,
        scheduler,
        logger,
        handleChanges: changes => hub?.pushChanges(changes),
    });

    const computeStoreAgeMs = (): number => (follower.isRunning() ? follower.computeAgeMs() : Infinity);

    const computeOverdueMs = (): number => (follower.isRunning() ? follower.computeOverdueMs() : Infinity);

    const hub =
        settings.peerAddress === undefined
            ? undefined
            : peerHub.createPeerHub({
                  address: settings.peerAddress,
                  scheduler,
                  logger,
                  getOwn,
                  computeOverdueMs,
                  listKnown: () => listPeers(),
                  isHub: () => !link.isLinked(),
                  handlePeer: peer => {
                      link.addCandidate(peer);
                      link.sendMet(peer);
                  },
                  listSnapshots: () => state.listSnapshots(),
              });

    const link = hubLink.createHubLink({
        scheduler,
        logger,
        seeds: settings.seeds,
        getOwn,
        handleMessages: channel => {
            channel.on("state.snapshots", ({ snapshots }) =>
                snapshots.forEach(snapshot => state.applySnapshot(snapshot, false)),
            );
            channel.on("state.changes", ({ changes }) => void state.applyChanges(changes));
            channel.on("crash.reports", ({ reports }) => options.handleCrashes(reports));
        },
        isStoreFresh: () => computeOverdueMs() < hubLink.longestOverdueMs,
        handleLinked: () => hub?.closeSpokes(),
        handleNeed: needsStore => (needsStore ? follower.start() : follower.stop()),
    });

    const listPeers = (): readonly routes.Peer[] => {
        if (!link.isLinked()) {
            return hub?.listPeers() ?? [getOwn()];
        }
        const others = link.listPeers().filter(peer => peer.vm !== settings.vm);
        return [...others, getOwn()].sort(peerOrder.comparePeers);
    };

    const hasPeers = (): boolean => link.isLinked() || (hub?.listPeers().length ?? 1) > 1;

    /** A hub can be found in the store by VMs whose seeds are gone; a VM that is alone looks for it there. */
    const look = async (): Promise<void> => {
        try {
            if (!link.isLinked() && !isRegistered) {
                isRegistered = true;
                await store.registerPeer(getOwn(), storeTimeoutMs);
            }
            if (!hasPeers()) {
                (await store.fetchPeers(storeTimeoutMs)).forEach(link.addCandidate);
            }
        } catch (error) {
            isRegistered = false;
            const reason = errorText.toErrorText(error);
            logger.warn("peer: store not reached", { reason });
        }
        timer = scheduler.schedule(lookIntervalMs, () => void look());
    };

    return {
        start: async () => {
            hub?.onDidReceiveCrashes(options.handleCrashes);
            await hub?.listen();
            link.start();
            timer = scheduler.schedule(lonelyMs, () => void look());
        },
        isConnected: hasPeers,
        computeStoreAgeMs,
        listPeers,
        countKnown: () => Math.max(link.countCandidates(), hub?.listPeers().length ?? 1),
        sendHello: link.sendHello,
        sendCrash: report => {
            link.sendCrashes([report]);
            hub?.pushCrashes([report]);
        },
        dispose: () => {
            timer?.dispose();
            link.dispose();
            follower.dispose();
            hub?.dispose();
        },
    };
};
