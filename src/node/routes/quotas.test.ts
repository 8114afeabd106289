import test from "ava";
import * as ids from "../../common/ids.js";
import * as quota from "../../common/routes/quota.js";
import * as quotaShare from "../../common/routes/quotaShare.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as quotaMessages from "./quotaMessages.js";
import * as quotas from "./quotas.js";

const large = ids.toOrganisationName("large");
const small = ids.toOrganisationName("small");
const free = ids.toOrganisationName("free");
const organisations: readonly routes.Organisation[] = [
    { name: large, keys: [], perSecond: 65, burst: 65 },
    { name: small, keys: [], perSecond: 0.5, burst: 1 },
    { name: free, keys: [], burst: 0 },
];
const windowMs = 5_000;
const latencyMs = 5;

interface TestVm {
    readonly own: quotas.Quotas;
    readonly name: shared.VmId;
    hub: TestVm | undefined;
    view: quotaShare.ShareView;
    /** Extra delay of its messages to the hub. */
    delayMs: number;
    reports: number;
    pause(): void;
    resume(): void;
}

/** VMs whose messages are delivered by virtual time. */
const createCluster = () => {
    const scheduler = virtualScheduler.createVirtualScheduler(1_000);
    const runs: number[] = [];

    const createVm = (text: string, view: Partial<quotaShare.ShareView> = {}): TestVm => {
        const name = ids.toVmId(text);
        /** Actions that became due while the VM was paused; undefined if it runs. */
        let pending: (() => void)[] | undefined;
        const runOrHold = (action: () => void): void => void (pending === undefined ? action() : pending.push(action));
        const ownScheduler: shared.Scheduler = {
            now: scheduler.now,
            schedule: (delayMs, action) => scheduler.schedule(delayMs, () => runOrHold(action)),
        };
        const vm: TestVm = {
            name,
            hub: undefined,
            delayMs: 0,
            reports: 0,
            pause: () => {
                pending ??= [];
            },
            resume: () => {
                const actions = pending ?? [];
                pending = undefined;
                actions.forEach(action => action());
            },
            view: {
                connected: [name],
                reported: [],
                unreachedSeeds: 0,
                isStoreFresh: true,
                isFirstStart: false,
                ...view,
            },
            own: quotas.createQuotas({
                scheduler: ownScheduler,
                logger: silentLogger.createSilentLogger(),
                hasHub: () => vm.hub !== undefined,
                getShareView: () => vm.view,
                sendReport: message => {
                    const { hub } = vm;
                    vm.reports += 1;
                    const respond = (acknowledgement: quotaMessages.AcknowledgementMessage): void =>
                        void scheduler.schedule(latencyMs, () => vm.own.receiveAcknowledgement(acknowledgement));
                    scheduler.schedule(latencyMs + vm.delayMs, () =>
                        hub?.own.ledgers.receiveReport(name, message, respond),
                    );
                },
            }),
        };
        vm.own.setConfiguration(organisations);
        return vm;
    };

    const follow = (vm: TestVm, hub: TestVm): void => {
        vm.hub = hub;
        hub.view = { ...hub.view, connected: [...hub.view.connected, vm.name] };
        vm.own.handleHubChange();
    };

    /** Sends requests of an organisation at an even rate; returns how many were charged. */
    const sendRequests = async (
        vms: readonly TestVm[],
        organisation: shared.OrganisationName,
        perSecond: number,
        forMs: number,
    ): Promise<number> => {
        let charged = 0;
        const gapMs = 1_000 / perSecond;
        for (let sent = 0; sent * gapMs < forMs; sent++) {
            const vm = vms[sent % vms.length];
            const request = { id: String(sent), signal: new AbortController().signal };
            void vm?.own.charge(organisation, request).then(result => {
                if (result.kind === "charged") {
                    charged += 1;
                    runs.push(scheduler.now());
                }
            });
            await scheduler.advance(gapMs);
        }
        return charged;
    };

    const countMostInWindow = (): number =>
        Math.max(0, ...runs.map(fromMs => runs.filter(atMs => atMs >= fromMs && atMs <= fromMs + windowMs).length));

    return { scheduler, createVm, follow, sendRequests, countMostInWindow, runs };
};

const largeBound = quota.computeWindowBound({ perSecond: 65, burst: 65 }, quota.defaultSettings);

// Guards against requests that are lost to the caller although they are below rate and burst.
test("requests below the quota are all charged, at the hub and at its follower", async t => {
    const { scheduler, createVm, follow, sendRequests } = createCluster();
    const [hub, follower] = [createVm("hub"), createVm("follower")];
    follow(follower, hub);
    await scheduler.advance(12_000);
    t.is(await sendRequests([hub, follower], large, 40, 20_000), 800);
    t.is(await sendRequests([follower], small, 0.4, 20_000), 8);
});

// Guards against an organisation that gets more than its quota by sending to several VMs, and against one that gets less.
test("an organisation far over its quota gets its rate over all VMs", async t => {
    const { scheduler, createVm, follow, sendRequests, countMostInWindow } = createCluster();
    const [hub, first, second] = [createVm("hub"), createVm("first"), createVm("second")];
    [first, second].forEach(vm => follow(vm, hub));
    await scheduler.advance(12_000);
    const charged = await sendRequests([hub, first, second], large, 400, 10_000);
    t.true(countMostInWindow() <= largeBound, String(countMostInWindow()));
    t.true(charged >= 65 * 10 + 65 - 10, String(charged));
});

// Guards against reports that are delivered seconds later and settle or grant for requests that have left.
test("reports that are delayed for seconds do not exceed the quota", async t => {
    const { scheduler, createVm, follow, sendRequests, countMostInWindow } = createCluster();
    const [hub, follower] = [createVm("hub"), createVm("follower")];
    follow(follower, hub);
    await scheduler.advance(12_000);
    for (let round = 0; round < 3; round++) {
        follower.delayMs = 3_000;
        await sendRequests([hub, follower], large, 300, 3_000);
        follower.delayMs = 0;
        await sendRequests([hub, follower], large, 300, 3_000);
    }
    t.true(countMostInWindow() <= largeBound, String(countMostInWindow()));
});

// Guards against two ledgers that each give the whole quota while the VMs can't reach each other.
test("the two sides of a partition stay within the quota together, and it returns afterwards", async t => {
    const { scheduler, createVm, follow, sendRequests, countMostInWindow, runs } = createCluster();
    const [hub, follower] = [createVm("hub"), createVm("follower")];
    follow(follower, hub);
    follower.view = { ...follower.view, reported: [hub.name] };
    await scheduler.advance(12_000);
    await sendRequests([hub, follower], large, 300, 3_000);
    follower.hub = undefined;
    follower.own.handleHubChange();
    await sendRequests([hub, follower], large, 300, 400);
    hub.view = { ...hub.view, connected: [hub.name] };
    hub.own.ledgers.closeSession(follower.name);
    await sendRequests([hub, follower], large, 300, 12_000);
    t.true(countMostInWindow() <= largeBound, String(countMostInWindow()));
    runs.length = 0;
    follow(follower, hub);
    await sendRequests([hub, follower], large, 300, 10_000);
    t.true(countMostInWindow() <= largeBound, String(countMostInWindow()));
    t.true(runs.length >= 65 * 8, String(runs.length));
});

// Guards against a bucket that fills while a hub is paused, although its followers have another ledger since.
test("a hub that was paused for seconds and goes on stays within the quota with the next hub", async t => {
    const { scheduler, createVm, follow, sendRequests, countMostInWindow } = createCluster();
    const [hub, follower] = [createVm("hub"), createVm("follower")];
    follow(follower, hub);
    follower.view = { ...follower.view, reported: [hub.name] };
    await scheduler.advance(12_000);
    await sendRequests([hub, follower], large, 300, 2_000);
    hub.pause();
    await sendRequests([follower], large, 300, 1_200);
    follower.hub = undefined;
    follower.own.handleHubChange();
    await sendRequests([follower], large, 300, 8_000);
    hub.resume();
    await sendRequests([hub, follower], large, 300, 100);
    hub.view = { ...hub.view, connected: [hub.name] };
    hub.own.ledgers.closeSession(follower.name);
    await sendRequests([hub, follower], large, 300, 6_000);
    t.true(countMostInWindow() <= largeBound, String(countMostInWindow()));
});

// Guards against seconds without service after all VMs have lost power, although nothing was charged before.
test("after all VMs have started, requests are charged from the first second on", async t => {
    const { scheduler, createVm, follow, sendRequests, countMostInWindow } = createCluster();
    const [hub, ...followers] = ["hub", "first", "second"].map(name => createVm(name));
    t.truthy(hub);
    if (hub !== undefined) {
        followers.forEach(vm => follow(vm, hub));
        hub.view = { ...hub.view, isFirstStart: true };
        await scheduler.advance(300);
        t.true((await sendRequests(followers, large, 40, 1_000)) >= 38);
        await sendRequests([hub, ...followers], large, 400, 6_000);
        t.true(countMostInWindow() <= largeBound, String(countMostInWindow()));
    }
});

// Guards against a follower that counts for two ledgers at once.
test("a hub that has restarted alone has a share only after its followers may have left every other hub", async t => {
    const { scheduler, createVm, follow } = createCluster();
    const [hub, follower] = [createVm("hub"), createVm("follower")];
    follow(follower, hub);
    await scheduler.advance(1_200);
    t.is(hub.own.ledgers.getShare(), 0);
    await scheduler.advance(300);
    t.is(hub.own.ledgers.getShare(), 1);
});

// Guards against a VM whose part of the quota counts at two hubs.
test("a VM that joins a second hub while the first one lives leaves the quota whole", async t => {
    const { scheduler, createVm, follow, sendRequests, countMostInWindow } = createCluster();
    const [former, next, follower] = [createVm("former"), createVm("next"), createVm("follower")];
    follow(follower, former);
    former.view = { ...former.view, reported: [next.name] };
    next.view = { ...next.view, reported: [former.name, follower.name] };
    await scheduler.advance(12_000);
    await sendRequests([former, next, follower], large, 400, 3_000);
    follow(follower, next);
    await sendRequests([former, next, follower], large, 400, 1_200);
    former.view = { ...former.view, connected: [former.name] };
    former.own.ledgers.closeSession(follower.name);
    await sendRequests([former, next, follower], large, 400, 12_000);
    t.true(countMostInWindow() <= largeBound, String(countMostInWindow()));
});

test("charges that are taken back leave room for others", async t => {
    const { scheduler, createVm } = createCluster();
    const vm = createVm("alone");
    await scheduler.advance(12_000);
    let charged = 0;
    for (let sent = 0; sent < 400; sent++) {
        const request = { id: String(sent), signal: new AbortController().signal };
        void vm.own.charge(large, request).then(result => {
            if (result.kind === "charged" && result.charge !== undefined) {
                charged += 1;
                vm.own.takeBack(result.charge);
            }
        });
        await scheduler.advance(5);
    }
    await scheduler.advance(200);
    t.true(charged >= 390, String(charged));
});

// Guards against costs for deployments that have no organisations.
test("without quotas nothing is sent, and an organisation without a limit is not counted", async t => {
    const { scheduler, createVm, follow, sendRequests } = createCluster();
    const [hub, follower] = [createVm("hub"), createVm("follower")];
    follow(follower, hub);
    await scheduler.advance(5_000);
    t.is(await sendRequests([follower], free, 100, 1_000), 100);
    t.is(follower.reports, 0);
});

// Guards against a request that waits for a ledger which never responds.
test("without a ledger in reach and without credit, a request is refused as unavailable after 150 ms", async t => {
    const { scheduler, createVm, follow } = createCluster();
    const [hub, follower] = [createVm("hub"), createVm("follower")];
    follow(follower, hub);
    await scheduler.advance(100);
    follower.delayMs = 10_000;
    const request = { id: "1", signal: new AbortController().signal };
    const charged = follower.own.charge(large, request);
    await scheduler.advance(150);
    t.is((await charged).kind, "unavailable");
});

// Guards against an organisation that is refused for as long as a ledger with a small share of the quotas expected to have no room.
test("soon after a ledger has its share again, requests below the quota are charged", async t => {
    const { scheduler, createVm, sendRequests } = createCluster();
    const others = Array.from({ length: 91 }, (_, index) => ids.toVmId(`vm-${String(index)}`));
    const hub = createVm("hub");
    const whole = { ...hub.view, connected: [hub.name, ...others] };
    hub.view = whole;
    await scheduler.advance(12_000);
    hub.view = { ...whole, connected: [hub.name], reported: others };
    await scheduler.advance(200);
    await sendRequests([hub], large, 100, 1_000);
    hub.view = whole;
    await scheduler.advance(2_000);
    t.is(await sendRequests([hub], large, 40, 2_000), 80);
});
