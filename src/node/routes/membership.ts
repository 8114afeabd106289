/**
 * Membership of this VM: registers it, follows a hub or the store, and forwards changes to its followers.
 */
import * as activeVmPlan from "../../common/routes/activeVmPlan.js";
import * as activeVmSelection from "../../common/routes/activeVmSelection.js";
import * as crashTypes from "../../common/crashes/Types.js";
import * as errorText from "../../common/errors/errorText.js";
import * as clientZones from "../../common/routes/clientZones.js";
import * as peerOrder from "../../common/routes/peerOrder.js";
import * as quota from "../../common/routes/quota.js";
import * as quotaShare from "../../common/routes/quotaShare.js";
import * as rate from "../../common/routes/rate.js";
import * as sharedState from "../../common/routes/sharedState.js";
import * as targetLimits from "../../common/routes/targetLimits.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import type * as byteMeter from "./byteMeter.js";
import * as configurationPush from "./configurationPush.js";
import * as hubLink from "./hubLink.js";
import * as peerChannel from "./peerChannel.js";
import * as peerHub from "./peerHub.js";
import * as planning from "./planning.js";
import * as storeFollower from "./storeFollower.js";
import * as quotas from "./quotas.js";
import * as types from "./Types.js";

const storeTimeoutMs = 1_000;
/** A VM without peers fetches them from the store after this time; at startup the seeds respond sooner. */
const firstStoreLookupDelayMs = 1_500;
const storeLookupIntervalMs = 10_000;
/** Changes of targets within this time are sent together. */
const reportDelayMs = 20;
const hasQuota = ({ perSecond }: routes.Organisation): boolean => perSecond !== undefined;
const noAddress = "" as shared.Address;

export interface Membership extends shared.Disposable {
    start(): Promise<void>;
    /** Whether this VM is connected to a hub or has followers. */
    isConnected(): boolean;
    /** Whether this VM would know of a change in the store by now: it, or its hub, has an up-to-date view. */
    isInTouch(): boolean;
    /** Age of this VM's own view of the store; infinite if it does not follow it. */
    computeStoreAgeMs(): number;
    /**
     * VMs that are alive as far as this VM knows, in the order of peers; always includes this one. After the loss of a hub,
     * those that it had reported are included while no other one that is known can serve.
     */
    listPeers(): readonly routes.Peer[];
    /** The plan of active VMs in force; empty if they are selected by their cores. */
    getPlan(): readonly shared.VmId[];
    /** Number of VMs that may be alive, reachable or not. */
    countKnownPeers(): number;
    readonly quotas: quotas.Quotas;
    /** Sends this VM's changed readiness or connectivity to the hub at once. */
    sendHello(): void;
    /** Sends a changed limit of a target to all VMs, together with what else changes at about the same time. */
    sendLimit(report: targetLimits.LimitReport): void;
    sendLeaving(report: routes.LeavingReport): void;
    sendCrash(report: crashTypes.CrashReport): void;
}

export interface MembershipOptions {
    readonly settings: types.RouteSettings;
    readonly incarnation: shared.IncarnationId;
    readonly store: types.StateStore;
    readonly state: sharedState.SharedState;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly traffic?: byteMeter.ByteMeter;
    getBounds(): types.RouteBounds;
    isReady(): boolean;
    /** Whether this VM reaches no target, as far as it knows. */
    isCutOff(): boolean;
    computeRequestRate(): number;
    listDemand(): readonly routes.ServiceDemand[];
    countServiceTargets(): activeVmPlan.TargetsByService;
    /** Returns the lookups that this VM has answered since the last call, by the clients' zone. */
    takeLookups(): clientZones.LookupCounts;
    /** Applies reports about targets; returns those that were new. */
    handleTargetReports(reports: peerChannel.TargetReports): peerChannel.TargetReports;
    listTargetReports(): peerChannel.TargetReports;
}

/**
 * Creates the membership of a VM.
 *
 * @param options - settings, state and message handlers
 * @returns the membership, not started
 */
export const createMembership = (options: MembershipOptions): Membership => {
    const { settings, store, state, scheduler, logger, traffic } = options;
    const startedAtMs = Date.now();
    const roundRate = rate.createSteadyRounding();
    const createdAtMs = scheduler.now();
    let isRegistered = false;
    let timer: shared.Disposable | undefined;
    const pendingLimits = new Map<shared.TargetId, targetLimits.LimitReport>();
    const pendingLeaving: routes.LeavingReport[] = [];
    const pendingCrashes = new Map<string, crashTypes.CrashReport>();
    let reportTimer: shared.Disposable | undefined;

    const getOwnPeer = (): routes.Peer => ({
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
        isCutOff: options.isCutOff(),
        requestsPerSecond: roundRate(options.computeRequestRate()),
        demand: options.listDemand(),
        linkMbps: settings.linkMbps,
    });

    const ownStoreFollower = storeFollower.createStoreFollower({
        store,
        state,
        scheduler,
        logger,
        getBounds: options.getBounds,
        handleUpdate: update => hub?.pushUpdate(update),
    });

    const computeStoreAgeMs = (): number => (ownStoreFollower.isRunning() ? ownStoreFollower.computeAgeMs() : Infinity);

    const computeOverdueMs = (): number =>
        ownStoreFollower.isRunning() ? ownStoreFollower.computeOverdueMs() : Infinity;

    const isStoreFresh = (): boolean => computeOverdueMs() < hubLink.maxOverdueMs;
    const plans = planning.createPlanning({
        ...{ scheduler, logger, takeLookups: options.takeLookups },
        countServiceTargets: options.countServiceTargets,
        hasLargeResponses: () => state.getConfiguration()?.routes.some(({ kind }) => kind === "download") === true,
        getHubPlan: () => link.getPlan(),
        listPeers: () => listConnectedPeers(),
    });

    const hub =
        settings.peerAddress === undefined
            ? undefined
            : peerHub.createPeerHub({
                  address: settings.peerAddress,
                  scheduler,
                  logger,
                  traffic,
                  getOwnPeer,
                  computeOverdueMs,
                  listKnownPeers: () => listConnectedPeers(),
                  isHub: () => !link.isConnected(),
                  handlePeer: peer => {
                      link.addCandidate(peer);
                      link.sendPeerMet(peer);
                  },
                  listSnapshots: () => state.listSnapshots(),
                  ...plans,
                  getStateRevision: state.getRevision,
                  toDifference: configurationPush.createConfigurationPush(state).toDifference,
                  listTargetReports: options.listTargetReports,
                  handleTargetReports: options.handleTargetReports,
                  handleQuotaReport: (id, report, send) => ownQuotas.ledgers.receiveReport(id, report, send),
                  handleFollowerLeft: id => ownQuotas.ledgers.closeSession(id),
              });

    /** VMs of earlier versions know no eras and send plain numbers. */
    const toVersioned = (update: routes.StateUpdate): routes.StateUpdate => {
        const toVersion = (version: routes.RowVersion | number): routes.RowVersion =>
            typeof version === "number" ? { era: state.getEra(update.table), sequence: version } : version;
        const changes = update.changes.map(change => ({ ...change, version: toVersion(change.version) }));
        return { table: update.table, version: toVersion(update.version), changes };
    };

    const link = hubLink.createHubLink({
        scheduler,
        logger,
        traffic,
        seeds: settings.seeds,
        takeLookups: options.takeLookups,
        getOwnPeer,
        addMessageHandlers: channel => {
            let hasSnapshots = false;
            channel.on("state.snapshots", ({ snapshots }) => {
                hasSnapshots = true;
                snapshots.forEach(snapshot => state.applySnapshot(toVersioned(snapshot)));
            });
            // Without the snapshots before them, changes do not make a table complete.
            const applyUpdate = (update: routes.StateUpdate): void =>
                hasSnapshots
                    ? void state.applyUpdate(toVersioned(update))
                    : void state.applyChanges(toVersioned(update).changes);
            channel.on("state.update", applyUpdate);
            channel.on("state.difference", received => {
                const update = configurationPush.applyDifference(state.getConfiguration(), received);
                if (update === undefined) {
                    state.applyChanges(toVersioned(received.update).changes);
                    logger.info("config: difference based on another configuration", {
                        version: received.difference.fields.version,
                    });
                    channel.send("state.request", {});
                } else {
                    applyUpdate(update);
                }
            });
            channel.on("target.reports", reports => void options.handleTargetReports(reports));
            channel.on("quota.acknowledge", message => ownQuotas.receiveAcknowledgement(message));
        },
        isStoreFresh,
        hasConfiguration: () => state.getConfiguration() !== undefined,
        hasQuotas: () => state.getConfiguration()?.organisations?.some(hasQuota) === true,
        handleConnected: () => {
            link.sendTargetReports(options.listTargetReports());
            hub?.closeFollowers();
            ownQuotas.handleHubChange();
        },
        handleLost: () => ownQuotas.handleHubChange(),
        handleStoreNeed: needsStore => (needsStore ? ownStoreFollower.start() : ownStoreFollower.stop()),
    });

    const ownQuotas = quotas.createQuotas({
        scheduler,
        logger,
        settings: quota.toSettings(settings.bounds),
        hasHub: link.isConnected,
        sendReport: link.sendQuotaReport,
        getShareView: () => ({
            connected: listConnectedPeers().map(({ vm }) => vm),
            reported: link.listCandidates(),
            unreachedSeeds: settings.seeds.filter(seed => seed !== settings.peerAddress && !link.hasReached(seed))
                .length,
            isStoreFresh: isStoreFresh(),
            isFirstStart: quotaShare.isFirstStart({ startedAtMs }, listConnectedPeers(), scheduler.now() - createdAtMs),
        }),
    });

    const listConnectedPeers = (): readonly routes.Peer[] => {
        if (!link.isConnected()) {
            return hub?.listPeers() ?? [getOwnPeer()];
        }
        const others = link.listPeers().filter(peer => peer.vm !== settings.vm);
        return [...others, getOwnPeer()].sort(peerOrder.comparePeers);
    };

    const listPeers = (): readonly routes.Peer[] => {
        const connected = listConnectedPeers();
        if (connected.some(activeVmSelection.canServe)) {
            return connected;
        }
        const vms = new Set(connected.map(({ vm }) => vm));
        const former = link.listFormerPeers().filter(({ vm }) => !vms.has(vm));
        return [...connected, ...former].sort(peerOrder.comparePeers);
    };

    const sendPendingReports = (): void => {
        reportTimer = undefined;
        const reports = {
            limits: [...pendingLimits.values()],
            leaving: pendingLeaving.splice(0),
            crashes: [...pendingCrashes.values()],
        };
        pendingLimits.clear();
        pendingCrashes.clear();
        link.sendTargetReports(reports);
        hub?.pushTargetReports(reports);
    };

    const scheduleReports = (): void => {
        reportTimer ??= scheduler.schedule(reportDelayMs, sendPendingReports);
    };

    const hasPeers = (): boolean => link.isConnected() || (hub?.listPeers().length ?? 1) > 1;

    /**
     * Registers this VM in the store unless it follows a hub, and fetches peers from there if it has none. This is how
     * a VM whose seeds are gone finds a hub.
     */
    const findPeersInStore = async (): Promise<void> => {
        try {
            if (!link.isConnected() && !isRegistered) {
                isRegistered = true;
                await store.registerPeer(getOwnPeer(), storeTimeoutMs);
            }
            if (!hasPeers()) {
                (await store.fetchPeers(storeTimeoutMs)).forEach(link.addCandidate);
            }
        } catch (error) {
            isRegistered = false;
            const reason = errorText.toErrorText(error);
            logger.warn("peer: store unreachable", { reason });
        }
        scheduleLookup(storeLookupIntervalMs);
    };

    /** At most one lookup is scheduled. */
    const scheduleLookup = (delayMs: number): void => {
        timer?.dispose();
        timer = scheduler.schedule(delayMs, () => void findPeersInStore());
    };

    /** The copy that the store has returned from may lack this VM. */
    const registerAgain = (): void => {
        isRegistered = false;
        scheduleLookup(firstStoreLookupDelayMs);
    };

    return {
        start: async () => {
            state.onDidSettle(update => hub?.pushUpdate(update));
            store.onDidRestore(registerAgain);
            await hub?.listen();
            link.start();
            scheduleLookup(firstStoreLookupDelayMs);
        },
        isConnected: hasPeers,
        isInTouch: () => link.hasFreshHub() || isStoreFresh(),
        computeStoreAgeMs,
        listPeers,
        getPlan: plans.getPlan,
        countKnownPeers: () => Math.max(link.listCandidates().length, hub?.listPeers().length ?? 1),
        quotas: ownQuotas,
        sendHello: link.sendHello,
        sendLimit: report => {
            pendingLimits.set(report.target, report);
            scheduleReports();
        },
        sendLeaving: report => {
            pendingLeaving.push(report);
            scheduleReports();
        },
        sendCrash: report => {
            pendingCrashes.set(`${report.fingerprint} ${report.service}`, report);
            scheduleReports();
        },
        dispose: () => {
            timer?.dispose();
            reportTimer?.dispose();
            ownQuotas.dispose();
            link.dispose();
            ownStoreFollower.dispose();
            hub?.dispose();
        },
    };
};
