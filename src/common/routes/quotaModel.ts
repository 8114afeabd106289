/**
 * Model of two entry VMs that charge the requests of one organisation as fast as they can. The first VM is always a hub; the
 * second follows it or is on its own, so that there may be two ledgers. It runs the functions of the daemon. Messages may
 * be delayed; a VM may notice at different times than the other that they have lost each other.
 */
import * as quotas from "./quota.js";
import * as quotaAccount from "./quotaAccount.js";
import * as quotaLedger from "./quotaLedger.js";
import * as quotaShare from "./quotaShare.js";

/** Mechanisms that are switched off, which the model check must detect. */
export type ModelFault =
    | "none"
    | "credit not divided"
    | "credit before the leases of another ledger end"
    | "full bucket at the start"
    | "whole rate for each ledger"
    | "whole burst for each ledger"
    | "early expiry of debt"
    | "token used again by the VM"
    | "return of old tokens"
    | "use of late grants"
    | "no restart after a pause"
    | "credit of the former quota";

export type Disturbance = "leave" | "restart" | "pause" | "takeBack" | "quota";

export interface ModelSettings {
    readonly disturbances: readonly Disturbance[];
    /** Whether the hub has restarted and the VMs have not met since, a short time before the start. */
    readonly isParted: boolean;
    readonly fault: ModelFault;
    readonly horizon: number;
}

interface Sent<T> {
    readonly sentAtMs: number;
    readonly message: T;
}

interface SentAcknowledgement extends quotas.AcknowledgementTimes {
    readonly acknowledgement: quotas.QuotaAcknowledgement;
}

export interface ModelVm {
    readonly account: quotaAccount.Account;
    /** Charges that may be taken back, with their times. */
    readonly running: readonly { readonly charge: quotaAccount.Charge; readonly atMs: number }[];
    readonly ledger: quotaLedger.Ledger;
    readonly history: quotaShare.ShareHistory;
    /** Time of the last report to the ledger by each of its sessions, by the clock of the reporting VM. */
    readonly reportedAtMs: { readonly own: number; readonly other: number };
    /** Whether this VM counts the other one as connected to its ledger (the first VM) or follows it (the second). */
    readonly isConnected: boolean;
    readonly isPaused: boolean;
    readonly quota: quotas.Quota;
}

export interface ModelState {
    readonly nowMs: number;
    readonly leaseMs: number;
    readonly vms: readonly [ModelVm, ModelVm];
    readonly reports: readonly Sent<quotas.QuotaReport>[];
    readonly acknowledgements: readonly Sent<SentAcknowledgement>[];
    /** Times at which requests were charged that were not taken back since. */
    readonly runs: readonly number[];
    /** Events of a lower rank have had their turn in this tick. */
    readonly rank: number;
    /** Time since which the VMs disagree on whether they are connected. */
    readonly differSinceMs: number | undefined;
    readonly pausedSinceMs: number | undefined;
    readonly quotaFellAtMs: number | undefined;
    readonly trace: readonly string[];
}

/**
 * Times are in ticks. All of the tolerance (2 requests) is credit: in the model, grants are used in the tick in which they
 * were taken, and tokens are returned in it.
 */
export const settings: quotas.QuotaSettings = {
    windowMs: 2,
    overshoot: 0.5,
    slack: 0,
    creditPart: 1,
    returnPart: 0,
    maxHoldMs: 1,
    leaseMs: 3,
};
export const formerQuota: quotas.Quota = { perSecond: 2_000, burst: 6 };
export const quota: quotas.Quota = { perSecond: 1_000, burst: 2 };
/** Longest time in which one VM takes the other for connected and the other does not. */
export const maxDifference = 1;
export const joinDelay = 2;
export const maxMessageDelay = 2;
export const maxMessages = 1;
const waiting = 2;
/** A request that was charged longer ago is not taken back. */
const maxRunMs = 3;

/** Without the empty start, a ledger begins as one that has had the whole share for long. */
const beginLedger = (nowMs: number, own: quotas.Quota, fault: ModelFault): Pick<ModelVm, "ledger" | "history"> => {
    const ledger = quotaLedger.createLedger(nowMs);
    return fault === "full bucket at the start"
        ? { ledger: { ...ledger, tokens: own.burst }, history: { share: 1, former: [] } }
        : { ledger, history: quotaShare.createShareHistory(nowMs) };
};

export const createVm = (state: { readonly nowMs: number }, own: quotas.Quota, fault: ModelFault): ModelVm => ({
    ...beginLedger(state.nowMs, own, fault),
    account: quotaAccount.createAccount(),
    running: [],
    reportedAtMs: { own: state.nowMs, other: state.nowMs },
    isConnected: false,
    isPaused: false,
    quota: own,
});

export const toLedgerTerms = (state: ModelState, vm: ModelVm, fault: ModelFault): quotaLedger.LedgerTerms => {
    const { nowMs } = state;
    const creditDelay = fault === "credit before the leases of another ledger end" ? 0 : state.leaseMs + joinDelay;
    const computeShare = (delayMs: number): number =>
        fault === "whole rate for each ledger" ? 1 : quotaShare.computeDelayedShare(vm.history, delayMs, nowMs);
    const share = computeShare(joinDelay);
    const own = { ...settings, leaseMs: state.leaseMs };
    const isWholeBurst = fault === "whole burst for each ledger" && share > 0;
    return {
        quota: isWholeBurst ? { ...vm.quota, burst: vm.quota.burst / share } : vm.quota,
        settings: fault === "return of old tokens" ? { ...own, returnPart: 100 } : own,
        share,
        creditShare: computeShare(creditDelay),
        nowMs,
    };
};

export const toAccountTerms = (state: ModelState, vm: ModelVm, fault: ModelFault): quotaAccount.AccountTerms => ({
    quota: fault === "credit of the former quota" ? formerQuota : vm.quota,
    settings: {
        ...settings,
        leaseMs: state.leaseMs,
        // Without the rate of the window, the credit stays the same by twice the share of the burst.
        ...(fault === "early expiry of debt" ? { windowMs: 0, overshoot: 1 } : {}),
        maxHoldMs: fault === "use of late grants" ? Infinity : settings.maxHoldMs,
    },
    nowMs: state.nowMs,
});

export const setVm = (state: ModelState, index: 0 | 1, vm: ModelVm): ModelState => ({
    ...state,
    vms: index === 0 ? [vm, state.vms[1]] : [state.vms[0], vm],
});

/** Requests that wait are charged by grants; what is left of the grants is returned. */
const useGrants = (state: ModelState, index: 0 | 1, fault: ModelFault): ModelState => {
    let vm = state.vms[index];
    let runs = state.runs;
    while (vm.account.spareGrants > 0) {
        const step = quotaAccount.chargeRequest(vm.account, toAccountTerms(state, vm, fault));
        if (step === undefined) {
            break;
        }
        const running = [...vm.running, { charge: step.charge, atMs: state.nowMs }];
        vm = { ...vm, account: step.account, running };
        runs = [...runs, state.nowMs];
    }
    return { ...setVm(state, index, vm), runs };
};

export const applyAcknowledgement = (
    state: ModelState,
    index: 0 | 1,
    { acknowledgement, reportedAtMs, takenAtMs }: SentAcknowledgement,
    fault: ModelFault,
): ModelState => {
    const vm = state.vms[index];
    const isWhole = fault === "credit not divided" && acknowledgement.creditShare !== null;
    const creditShare = isWhole ? 1 : acknowledgement.creditShare;
    const account = quotaAccount.applyAcknowledgement(
        vm.account,
        { ...acknowledgement, creditShare },
        { reportedAtMs, takenAtMs },
        toAccountTerms(state, vm, fault),
    );
    return useGrants(setVm(state, index, { ...vm, account }), index, fault);
};

/** Sends acknowledgements of a ledger: to its own account at once, to the other VM by a message. */
const sendAcknowledgements = (
    state: ModelState,
    index: 0 | 1,
    step: quotaLedger.LedgerStep,
    fault: ModelFault,
): ModelState => {
    const vm = state.vms[index];
    let next = setVm(state, index, { ...vm, ledger: step.ledger });
    for (const [id, sent] of step.acknowledgements) {
        // Only the hub has the fault, so that the other VM still uses what an earlier ledger gave it.
        const isEarly = fault === "credit before the leases of another ledger end" && index === 1;
        const acknowledgement = isEarly ? { ...sent, creditShare: null } : sent;
        const times = { takenAtMs: state.nowMs, reportedAtMs: vm.reportedAtMs[id === "own" ? "own" : "other"] };
        if (id === "own") {
            next = applyAcknowledgement(next, index, { acknowledgement, ...times }, fault);
        } else {
            const message = { acknowledgement, ...times };
            next = { ...next, acknowledgements: [...next.acknowledgements, { sentAtMs: state.nowMs, message }] };
        }
    }
    return next;
};

export const receiveReport = (
    state: ModelState,
    index: 0 | 1,
    id: "own" | "other",
    sent: Sent<quotas.QuotaReport>,
    fault: ModelFault,
): ModelState => {
    const vm = state.vms[index];
    const next = setVm(state, index, { ...vm, reportedAtMs: { ...vm.reportedAtMs, [id]: sent.sentAtMs } });
    const step = quotaLedger.applyReport(vm.ledger, id, sent.message, toLedgerTerms(state, vm, fault));
    return sendAcknowledgements(next, index, step, fault);
};

export const isFollowing = (state: ModelState, index: 0 | 1): boolean => index === 1 && state.vms[1].isConnected;

const sendReport = (state: ModelState, index: 0 | 1, fault: ModelFault): ModelState => {
    const vm = state.vms[index];
    const step = quotaAccount.toReport(vm.account, waiting, toAccountTerms(state, vm, fault));
    const next = setVm(state, index, { ...vm, account: step.account });
    const sent = { sentAtMs: state.nowMs, message: step.report };
    return isFollowing(state, index)
        ? { ...next, reports: [...next.reports, sent] }
        : receiveReport(next, index, "own", sent, fault);
};

/** Charges as many requests as the credit allows, and reports that others wait. */
export const serveRequests = (state: ModelState, index: 0 | 1, fault: ModelFault): ModelState => {
    const next = useCredit(state, index, fault);
    return isFollowing(state, index) && state.reports.length >= maxMessages ? next : sendReport(next, index, fault);
};

const useCredit = (state: ModelState, index: 0 | 1, fault: ModelFault): ModelState => {
    let vm = state.vms[index];
    let runs = state.runs;
    for (;;) {
        const step = quotaAccount.chargeRequest(vm.account, toAccountTerms(state, vm, fault));
        if (step === undefined) {
            return { ...setVm(state, index, vm), runs };
        }
        const running = [...vm.running, { charge: step.charge, atMs: state.nowMs }];
        vm = { ...vm, account: step.account, running };
        runs = [...runs, state.nowMs];
    }
};

export const takeBack = (state: ModelState, index: 0 | 1, fault: ModelFault): ModelState => {
    const vm = state.vms[index];
    const [oldest, ...running] = vm.running;
    if (oldest === undefined) {
        return state;
    }
    const account =
        fault === "token used again by the VM"
            ? { ...vm.account, spareGrants: vm.account.spareGrants + 1 }
            : quotaAccount.takeBackCharge(vm.account, oldest.charge);
    const at = state.runs.indexOf(oldest.atMs);
    const runs = state.runs.filter((_, position) => position !== at);
    return { ...setVm(state, index, { ...vm, account, running }), runs };
};

/** The ledger of a VM begins anew. */
export const restartLedger = (state: ModelState, vm: ModelVm, fault: ModelFault): ModelVm => {
    const { ledger, history } = beginLedger(state.nowMs, vm.quota, fault);
    return { ...vm, ledger: { ...ledger, sessions: vm.ledger.sessions }, history };
};

export const leaveHub = (state: ModelState, fault: ModelFault): ModelState => {
    const vm = state.vms[1];
    const account = quotaAccount.beginSession(vm.account, toAccountTerms(state, vm, fault));
    const ledger = quotaLedger.createLedger(state.nowMs);
    const left = restartLedger(state, { ...vm, account, ledger, isConnected: false }, fault);
    return { ...setVm(state, 1, left), acknowledgements: [] };
};

export const dropFollower = (state: ModelState): ModelState => {
    const vm = state.vms[0];
    const ledger = quotaLedger.closeSession(vm.ledger, "other", state.nowMs);
    return { ...setVm(state, 0, { ...vm, ledger, isConnected: false }), reports: [] };
};

export const joinHub = (state: ModelState, fault: ModelFault): ModelState => {
    const [former, vm] = state.vms;
    const hub = { ...former, ledger: quotaLedger.closeSession(former.ledger, "other", state.nowMs) };
    const account = quotaAccount.beginSession(vm.account, toAccountTerms(state, vm, fault));
    // The sessions of a ledger have names that are not used again; here the closed one leaves its leases only.
    const closed = hub.ledger.sessions.get("other");
    const sessions = new Map(hub.ledger.sessions);
    sessions.delete("other");
    if (closed !== undefined) {
        sessions.set(`closed ${String(state.nowMs)}`, closed);
    }
    const next = setVm(state, 0, { ...hub, isConnected: true, ledger: { ...hub.ledger, sessions } });
    const joined = { ...vm, account, isConnected: true, ledger: quotaLedger.createLedger(state.nowMs) };
    return { ...setVm(next, 1, joined), reports: [], acknowledgements: [] };
};

/** The process of a VM starts anew; the other VM notices that it is gone. */
export const restartVm = (state: ModelState, index: 0 | 1, fault: ModelFault): ModelState => {
    const left = index === 0 && state.vms[1].isConnected ? leaveHub(state, fault) : state;
    const dropped = index === 1 && state.vms[0].isConnected ? dropFollower(left) : left;
    const restarted = setVm(dropped, index, createVm(state, dropped.vms[index].quota, fault));
    return { ...restarted, reports: [], acknowledgements: [] };
};

/** Applies the quota or share that a VM sees now. */
export const refreshVm = (state: ModelState, index: 0 | 1, fault: ModelFault): ModelState => {
    const vm = state.vms[index];
    if (vm.isPaused || isFollowing(state, index)) {
        return state;
    }
    const before = quotaLedger.refreshLedger(vm.ledger, toLedgerTerms(state, vm, fault));
    // Both VMs are known to each other, so that n is 2 at all times.
    const share = index === 0 && vm.isConnected ? 1 : 0.5;
    const history = quotaShare.addShare(vm.history, share, state.nowMs, state.leaseMs + joinDelay);
    const next = { ...vm, ledger: before, history };
    const ledger = quotaLedger.refreshLedger(before, toLedgerTerms(state, next, fault));
    return setVm(state, index, { ...next, ledger });
};

export const runTick = (state: ModelState, fault: ModelFault): ModelState => {
    const nowMs = state.nowMs + 1;
    const runs = state.runs.filter(atMs => nowMs - atMs <= settings.windowMs);
    const vms = state.vms.map(vm => ({ ...vm, running: vm.running.filter(({ atMs }) => nowMs - atMs <= maxRunMs) }));
    const [first = state.vms[0], second = state.vms[1]] = vms;
    const moved: ModelState = { ...state, rank: 0, nowMs, runs, vms: [first, second] };
    return [0, 1].reduce<ModelState>((before, at) => {
        const index = at === 0 ? 0 : 1;
        const next = refreshVm(before, index, fault);
        const vm = next.vms[index];
        if (vm.isPaused || isFollowing(next, index)) {
            return next;
        }
        return sendAcknowledgements(
            next,
            index,
            quotaLedger.settleDebt(vm.ledger, toLedgerTerms(next, vm, fault)),
            fault,
        );
    }, moved);
};
