/**
 * Exchange of members, confirmations, cell loads and crash counts between entry VMs.
 */
import * as blackboards from "../../common/blackboard/Types.js";
import * as events from "../../common/events.js";
import * as revisions from "../../common/freshness/revisions.js";
import * as membership from "../../common/membership/Types.js";
import * as shared from "../../common/Types.js";
import * as configuration from "../configuration/Types.js";
import * as platform from "../platform/Types.js";
import * as settingsTypes from "../settings/Types.js";
import * as candidatesModule from "./candidates.js";
import * as crashFeed from "./crashFeed.js";
import * as gossipCodec from "./gossipCodec.js";
import * as membersModule from "./members.js";
import * as parameters from "./parameters.js";
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
    /** Whether more than half of the entry VMs on the platform's list are members; true while the list is not known. */
    seesMajority(): boolean;
}

/** An age is one byte on the wire, and 254 units have to cover the member timeout. */
const agesPerTimeout = 250;

/**
 * Pulls in each gossip interval, spread evenly over it.
 *
 * News reaches most of n members after about ln(n) / rate seconds. With one pull per second and 55 members that is
 * longer than the freshness deadline of 3 s, so the rate does not fall with the size.
 */
const pullsPerInterval = 3;

/**
 * While the newest confirmation is older than this share of the freshness deadline, pulls come twice as often. With 55
 * members that happens only while the table is down, when freshness depends on gossip alone.
 */
const oldConfirmationShare = 0.6;

/** Cursors of peers that are kept; more peers than that do not exist in one deployment. */
const maxCursors = 500;

/**
 * Creates the exchange and starts to pull.
 *
 * @param options - services, settings and the blackboard
 * @returns the exchange; disposing it stops the pulls
 */
export const createGossip = (options: GossipOptions): Gossip => {
    const { blackboard, rpcClient, scheduler, settings, logger } = options;
    const { self } = blackboard;
    const unitMs = Math.ceil(settings.memberTimeoutMs / agesPerTimeout);
    const lifetimes = events.createDisposableStore();
    const candidates = lifetimes.add(candidatesModule.createCandidates({ ...options, self: self.control }));
    const members = membersModule.createMembers({ ...options, memberTimeoutMs: settings.memberTimeoutMs });
    const crashes = crashFeed.createCrashFeed(self.incarnation, options.listCrashes);
    const cursors = new Map<shared.Address, string>();
    let timer: shared.Disposable | undefined;
    let isDisposed = false;

    const getRevision = (): shared.Revision => blackboard.freshness.get().revision;

    const toAnsweredConfirmation = (nowMs: number): readonly [shared.Revision, number] | undefined => {
        const confirmation = options.configuration.getConfirmation();
        return confirmation && [confirmation.revision, Math.ceil(nowMs - confirmation.atMs)];
    };

    const handlePull = (request: types.GossipChangesRequest): types.GossipChangesResult => {
        candidates.addHeard(request.from);
        members.refreshSelf();
        const nowMs = scheduler.now();
        const changes = gossipCodec.formatChanges(request, members.getKnown(), nowMs, unitMs);
        if (changes === undefined) {
            return { mismatch: true };
        }
        const crash = crashes.listChanges(request.cursor);
        const hasCrashes = crash.changes.length > 0;
        return {
            ...changes,
            confirmation: toAnsweredConfirmation(nowMs),
            head: getRevision() > request.revision ? options.configuration.getHead() : undefined,
            crashes: hasCrashes ? crash.changes : undefined,
            cursor: hasCrashes ? crash.cursor : undefined,
        };
    };

    const applyMajority = (): void => {
        const majority = revisions.computeMajorityConfirmation(candidates.getListed(), members.getDigests());
        if (majority !== undefined) {
            options.configuration.observeConfirmation(majority.revision, majority.atMs);
        }
    };

    const applyAnswer = (
        answer: types.GossipChangesAnswer,
        asked: gossipCodec.KnownMembers,
        control: shared.Address,
        requestedAtMs: number,
    ): void => {
        if (answer.head !== undefined) {
            options.configuration.observeHead(answer.head, control);
        }
        members.apply(gossipCodec.parseChanges(answer, asked, requestedAtMs));
        if (answer.confirmation !== undefined) {
            const [revision, ageMs] = answer.confirmation;
            const confirmation = revisions.toPeerConfirmation(revision, ageMs, requestedAtMs);
            options.configuration.observeConfirmation(confirmation.revision, confirmation.atMs);
        }
        applyMajority();
        for (const [fingerprint, count] of answer.crashes ?? []) {
            options.applyCrash(fingerprint, count);
        }
        if (answer.cursor !== undefined && (cursors.size < maxCursors || cursors.has(control))) {
            cursors.set(control, answer.cursor);
        }
    };

    /** Asks once; returns whether the request has to be repeated with ids, or undefined if there was no answer. */
    const pullOnce = async (control: shared.Address, withIds: boolean): Promise<"mismatch" | "done" | undefined> => {
        const asked = members.getKnown();
        const requestedAtMs = scheduler.now();
        const request: types.GossipChangesRequest = {
            from: self.control,
            revision: getRevision(),
            set: asked.set,
            versions: gossipCodec.formatVersions(asked),
            ids: withIds ? gossipCodec.formatIds(asked) : undefined,
            cursor: cursors.get(control),
        };
        const result = await rpcClient.call(control, "gossip.pullChanges", request, settings.gossipIntervalMs);
        if (isDisposed || result.kind === "failed") {
            return undefined;
        }
        const parsed = parameters.gossipChangesResult.safeParse(result.result);
        if (!parsed.success) {
            logger.warn("member: malformed gossip answer", { control });
            return undefined;
        }
        const answer = parsed.data as unknown as types.GossipChangesResult;
        if ("mismatch" in answer) {
            return "mismatch";
        }
        applyAnswer(answer, asked, control, requestedAtMs);
        return "done";
    };

    const pull = async (control: shared.Address): Promise<void> => {
        let outcome = await pullOnce(control, false);
        if (outcome === "mismatch") {
            outcome = await pullOnce(control, true);
        }
        candidates.recordResult(control, outcome !== undefined);
    };

    const startPull = (control: shared.Address | undefined): void => {
        if (control !== undefined) {
            pull(control).catch((error: unknown) => logger.error("member: pull failed", { cause: String(error) }));
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
        members.removeExpired();
        members.updateSelf();
        // A VM that is alone on the list is its own majority.
        applyMajority();
        startPull(candidates.pick(members.listControls()));
        const oldest = members.findOldest();
        if (oldest !== undefined && candidates.takeIfReady(oldest)) {
            startPull(oldest);
        }
    };

    /** The plain form, for people and for the comparison of sizes. */
    const handlePlainPull = (): types.GossipPullAnswer => {
        members.refreshSelf();
        const nowMs = scheduler.now();
        const known = members.getKnown().records;
        const confirmation = toAnsweredConfirmation(nowMs);
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
        "gossip.pull": () => Promise.resolve(handlePlainPull()),
        "gossip.pullChanges": request => Promise.resolve(handlePull(request)),
    });
    lifetimes.add(blackboard.lifecycle.onDidChange(() => members.updateSelf()));
    lifetimes.add(blackboard.configuration.onDidChange(() => members.updateSelf()));
    timer = scheduler.schedule(options.random.nextFloat() * settings.gossipIntervalMs, runTick);

    const lifetime = events.toDisposable(() => {
        isDisposed = true;
        timer?.dispose();
        lifetimes.dispose();
    });
    const seesMajority = (): boolean => {
        const listed = candidates.getListed();
        const seen = listed.filter(vm => blackboard.members.get().has(vm));
        return listed.length === 0 || seen.length * 2 > listed.length;
    };
    return { seesMajority, dispose: () => lifetime.dispose() };
};
