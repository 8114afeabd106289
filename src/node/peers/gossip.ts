/**
 * Gossip between entry VMs: members, confirmations, cell loads and crash counts.
 */
import * as blackboards from "../../common/blackboard/Types.js";
import * as events from "../../common/events.js";
import * as revisions from "../../common/freshness/revisions.js";
import * as membership from "../../common/membership/Types.js";
import * as shared from "../../common/Types.js";
import * as configuration from "../configuration/Types.js";
import * as platform from "../platform/Types.js";
import * as settingsTypes from "../settings/Types.js";
import * as crashFeed from "./crashFeed.js";
import * as gossipCodec from "./gossipCodec.js";
import * as memberLists from "./memberList.js";
import * as parameters from "./parameters.js";
import * as peerSelectors from "./peerSelector.js";
import * as types from "./Types.js";

export interface GossipOptions {
    readonly blackboard: blackboards.Blackboard;
    readonly rpcClient: types.RpcClient;
    readonly rpcServer: types.RpcServer;
    readonly vmList: platform.VmList;
    readonly scheduler: shared.Scheduler;
    readonly random: shared.Random;
    readonly settings: Pick<settingsTypes.EntrySettings, "freshnessMs" | "gossipIntervalMs" | "memberTimeoutMs">;
    readonly configuration: Pick<
        configuration.ConfigurationController,
        "observeHead" | "observeConfirmation" | "getHead" | "getConfirmation"
    >;
    readonly listCellLoads: () => readonly membership.CellLoad[];
    readonly listCrashes: () => readonly crashFeed.CrashCount[];
    readonly applyCrash: (fingerprint: string, count: number) => void;
    /** Epoch of the idempotency keys that this VM issues now. */
    readonly getKeyEpoch: () => number;
    readonly logger: shared.Logger;
}

export interface Gossip extends shared.Disposable {
    /** Whether more than half of the entry VMs on the platform's list are members; true while the list is unknown. */
    hasMajority(): boolean;
}

/** An age is one byte on the wire, and 254 units must cover the member timeout. */
const ageUnitsPerTimeout = 250;

/**
 * Pulls per gossip interval, spread evenly over it.
 *
 * An update reaches most of n members after about ln(n) / rate seconds. With one pull per second and 55 members that is
 * longer than the freshness deadline of 3 s, so the rate is not reduced for larger deployments.
 */
const pullsPerInterval = 3;

/**
 * While the newest confirmation is older than this share of the freshness deadline, the pull rate is doubled. With 55
 * members this happens only while the table is down and freshness depends on gossip alone.
 */
const oldConfirmationShare = 0.6;

/** Limit of the stored peer cursors, above the number of peers in any deployment. */
const maxCursors = 500;

/**
 * Starts gossiping with the other entry VMs.
 *
 * @param options - services, settings and the blackboard
 * @returns the gossip; disposing it stops the pulls
 */
export const createGossip = (options: GossipOptions): Gossip => {
    const { blackboard, rpcClient, scheduler, settings, logger } = options;
    const { self } = blackboard;
    const unitMs = Math.ceil(settings.memberTimeoutMs / ageUnitsPerTimeout);
    const disposables = events.createDisposableStore();
    const peerSelector = disposables.add(peerSelectors.createPeerSelector({ ...options, self: self.control }));
    const memberList = memberLists.createMemberList({ ...options, memberTimeoutMs: settings.memberTimeoutMs });
    const crashes = crashFeed.createCrashFeed(self.incarnation, options.listCrashes);
    const cursors = new Map<shared.Address, string>();
    let timer: shared.Disposable | undefined;
    let isDisposed = false;

    const getRevision = (): shared.Revision => blackboard.freshness.get().revision;

    const formatConfirmation = (nowMs: number): readonly [shared.Revision, number] | undefined => {
        const confirmation = options.configuration.getConfirmation();
        return confirmation && [confirmation.revision, Math.ceil(nowMs - confirmation.atMs)];
    };

    const handlePull = (request: types.GossipChangesRequest): types.GossipChangesResult => {
        peerSelector.addRequester(request.from);
        memberList.refreshSelf();
        const nowMs = scheduler.now();
        const changes = gossipCodec.formatChanges(request, memberList.getKnownMembers(), nowMs, unitMs);
        if (changes === undefined) {
            return { mismatch: true };
        }
        const crashChanges = crashes.listChanges(request.cursor);
        const hasCrashes = crashChanges.changes.length > 0;
        return {
            ...changes,
            confirmation: formatConfirmation(nowMs),
            head: getRevision() > request.revision ? options.configuration.getHead() : undefined,
            crashes: hasCrashes ? crashChanges.changes : undefined,
            cursor: hasCrashes ? crashChanges.cursor : undefined,
        };
    };

    const updateMajorityConfirmation = (): void => {
        const majority = revisions.computeMajorityConfirmation(peerSelector.getListedVms(), memberList.getVmDigests());
        if (majority !== undefined) {
            options.configuration.observeConfirmation(majority.revision, majority.atMs);
        }
    };

    const applyResponse = (
        response: types.GossipChangesResponse,
        requestMembers: gossipCodec.KnownMembers,
        control: shared.Address,
        requestedAtMs: number,
    ): void => {
        if (response.head !== undefined) {
            options.configuration.observeHead(response.head, control);
        }
        memberList.mergeRecords(gossipCodec.parseChanges(response, requestMembers, requestedAtMs));
        if (response.confirmation !== undefined) {
            const [revision, ageMs] = response.confirmation;
            const confirmation = revisions.toPeerConfirmation(revision, ageMs, requestedAtMs);
            options.configuration.observeConfirmation(confirmation.revision, confirmation.atMs);
        }
        updateMajorityConfirmation();
        for (const [fingerprint, count] of response.crashes ?? []) {
            options.applyCrash(fingerprint, count);
        }
        if (response.cursor !== undefined && (cursors.size < maxCursors || cursors.has(control))) {
            cursors.set(control, response.cursor);
        }
    };

    /** Sends one request. `mismatch` means that it must be repeated with ids; undefined, that it failed. */
    const pullOnce = async (control: shared.Address, withIds: boolean): Promise<"mismatch" | "done" | undefined> => {
        const requestMembers = memberList.getKnownMembers();
        const requestedAtMs = scheduler.now();
        const request: types.GossipChangesRequest = {
            from: self.control,
            revision: getRevision(),
            set: requestMembers.identityDigest,
            versions: gossipCodec.formatVersions(requestMembers),
            ids: withIds ? gossipCodec.formatIds(requestMembers) : undefined,
            cursor: cursors.get(control),
        };
        const result = await rpcClient.call(control, "gossip.pullChanges", request, settings.gossipIntervalMs);
        if (isDisposed || result.kind === "failed") {
            return undefined;
        }
        const parsed = parameters.gossipChangesResult.safeParse(result.result);
        if (!parsed.success) {
            logger.warn("member: malformed gossip response", { control });
            return undefined;
        }
        const response = parsed.data as unknown as types.GossipChangesResult;
        if ("mismatch" in response) {
            return "mismatch";
        }
        applyResponse(response, requestMembers, control, requestedAtMs);
        return "done";
    };

    const pull = async (control: shared.Address): Promise<void> => {
        let outcome = await pullOnce(control, false);
        if (outcome === "mismatch") {
            outcome = await pullOnce(control, true);
        }
        peerSelector.recordResult(control, outcome !== undefined);
    };

    const startPull = (control: shared.Address | undefined): void => {
        if (control !== undefined) {
            pull(control).catch((error: unknown) =>
                logger.error("member: gossip pull failed", { cause: String(error) }),
            );
        }
    };

    const computeDelayMs = (): number => {
        const { confirmedAtMs } = blackboard.freshness.get();
        const ageMs = confirmedAtMs === undefined ? 0 : scheduler.now() - confirmedAtMs;
        const isOld = ageMs > settings.freshnessMs * oldConfirmationShare;
        return settings.gossipIntervalMs / pullsPerInterval / (isOld ? 2 : 1);
    };

    const runTick = (): void => {
        timer = scheduler.schedule(computeDelayMs(), runTick);
        memberList.removeExpired();
        memberList.updateSelf();
        // A VM that is alone on the list forms a majority by itself.
        updateMajorityConfirmation();
        startPull(peerSelector.pick(memberList.listControlAddresses()));
        const expiring = memberList.findExpiring();
        if (expiring !== undefined && peerSelector.acquireIfReady(expiring)) {
            startPull(expiring);
        }
    };

    /** Handles `gossip.pull`, the full form, which serves diagnostics and size comparisons. */
    const handleFullPull = (): types.GossipPullResponse => {
        memberList.refreshSelf();
        const nowMs = scheduler.now();
        const known = memberList.getKnownMembers().records;
        const confirmation = formatConfirmation(nowMs);
        return {
            members: known.map(({ info, seenAtMs }) => ({ info, ageMs: Math.ceil(nowMs - seenAtMs) })),
            cellLoads: [...blackboard.cellLoads.get().values()].flat().map(({ measuredAtMs, ...load }) => ({
                ...load,
                ageMs: Math.ceil(nowMs - measuredAtMs),
            })),
            confirmation: confirmation && { revision: confirmation[0], ageMs: confirmation[1] },
            head: options.configuration.getHead(),
            crashes: options.listCrashes(),
        };
    };

    options.rpcServer.addHandlers({
        "gossip.pull": () => Promise.resolve(handleFullPull()),
        "gossip.pullChanges": request => Promise.resolve(handlePull(request)),
    });
    disposables.add(blackboard.lifecycle.onDidChange(() => memberList.updateSelf()));
    disposables.add(blackboard.configuration.onDidChange(() => memberList.updateSelf()));
    timer = scheduler.schedule(options.random.nextFloat() * settings.gossipIntervalMs, runTick);

    const disposable = events.toDisposable(() => {
        isDisposed = true;
        timer?.dispose();
        disposables.dispose();
    });
    const hasMajority = (): boolean => {
        const listed = peerSelector.getListedVms();
        const listedMembers = listed.filter(vm => blackboard.members.get().has(vm));
        return listed.length === 0 || listedMembers.length * 2 > listed.length;
    };
    return { hasMajority, dispose: () => disposable.dispose() };
};
