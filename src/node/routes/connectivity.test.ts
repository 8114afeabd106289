import test from "ava";
import * as targetSet from "../../common/routes/targetSet.js";
import * as routes from "../../common/routes/Types.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as connectivity from "./connectivity.js";
import * as targetSender from "./targetSender.js";

const targets = ["a", "b", "c", "d"].map(id => fixture.createRegistration(id));
const [lost] = targets;
const peer = fixture.createPeer("other");

/** Asks whether a target has ended that takes no connections; so do others that are given. */
const askHasEnded = async (options: {
    readonly unreachable: readonly string[];
    readonly peers: readonly routes.Peer[];
}): Promise<boolean | undefined> => {
    const scheduler = virtualScheduler.createVirtualScheduler(1_000);
    const set = targetSet.createTargetSet(scheduler);
    set.setTargets(targets);
    const response: targetSender.ProbeResult = {
        kind: "response",
        head: fixture.testDialect.parseResponseHead(200, []),
    };
    const { hasEnded } = connectivity.createConnectivity({
        settings: { vm: fixture.vm, zone: fixture.zone },
        scheduler,
        logger: silentLogger.createSilentLogger(),
        set,
        limits: fixture.createTargetLimits(scheduler),
        services: new Map(),
        metrics: { recordRelay: () => undefined },
        sender: {
            startRelayed: () => {
                throw new Error("nothing is passed on");
            },
            sendProbe: ({ registration }) =>
                Promise.resolve(options.unreachable.includes(registration.id) ? { kind: "unreachable" } : response),
        },
        seed: 1,
        isActive: () => true,
        listActiveVms: () => options.peers,
        listPeers: () => options.peers,
    });
    return lost && hasEnded(lost, scheduler.now());
};

test("a target that takes no connections has ended if others take them", async t => {
    t.true(await askHasEnded({ unreachable: ["a"], peers: [peer] }));
    t.false(await askHasEnded({ unreachable: [], peers: [peer] }));
});

// Guards against harmless requests that are refused, as targets reset open connections of a VM that opens no new ones.
test("a VM that opens no connections to targets does not count those that break, while other VMs do", async t => {
    const unreachable = ["a", "b", "c", "d"];
    t.false(await askHasEnded({ unreachable, peers: [peer] }));
    t.true(await askHasEnded({ unreachable, peers: [] }), "all equal requests run here");
    const cutOffPeer = { ...peer, isCutOff: true };
    t.true(await askHasEnded({ unreachable, peers: [cutOffPeer] }), "no VM reaches targets");
});
