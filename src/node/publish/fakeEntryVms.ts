/**
 * Fake entry VMs for tests of the publisher and the command line.
 */
import * as ids from "../../common/ids.js";
import * as types from "../../common/Types.js";
import * as peers from "../peers/Types.js";
import * as platform from "../platform/Types.js";

/**
 * `nonAdopting` responds but adopts nothing; `silent` does not respond; `wrongName` responds with another VM's name;
 * `restarting` adopts and restarts after each announcement.
 */
export type FakeMode = "adopting" | "nonAdopting" | "silent" | "wrongName" | "restarting";

export interface FakeEntryVm {
    readonly listed: platform.ListedVm;
    mode: FakeMode;
    revision: types.Revision;
    restarts: number;
    /** Digests of the sections in the announcements. */
    readonly announced: string[];
    targets: readonly peers.TargetStatus[];
    traces: readonly peers.CallTrace[];
}

const firstPort = 9000;

/**
 * Creates one fake entry VM.
 *
 * @param index - number of the VM, which determines its name and port
 * @param mode - its behaviour
 * @returns the VM
 */
export const createFakeEntryVm = (index: number, mode: FakeMode): FakeEntryVm => ({
    listed: {
        vm: ids.toVmId(`entry-${index}`),
        role: "entry",
        state: "live",
        address: ids.toAddress(`127.0.0.1:${firstPort - 1000 + index}`),
        control: ids.toAddress(`127.0.0.1:${firstPort + index}`),
        zone: ids.toZoneName("a"),
    },
    mode,
    revision: ids.toRevision(0),
    restarts: 0,
    announced: [],
    targets: [],
    traces: [],
});

const toStatus = (vm: FakeEntryVm): peers.ConfigStatus => ({
    vm: vm.mode === "wrongName" ? ids.toVmId("other") : vm.listed.vm,
    incarnation: ids.toIncarnationId(`${vm.listed.vm}-${vm.restarts}`),
    revision: vm.revision,
    fresh: vm.mode !== "nonAdopting",
    confirmedAgeMs: 100,
});

const adoptAnnouncement = (vm: FakeEntryVm, params: peers.RpcMethods["config.announce"]["params"]): void => {
    vm.announced.push(...Object.keys(params.sections));
    if (vm.mode !== "nonAdopting" && params.head.revision > vm.revision) {
        vm.revision = params.head.revision;
    }
};

const handleAnnouncement = (
    vm: FakeEntryVm,
    params: peers.RpcMethods["config.announce"]["params"],
): peers.ConfigStatus => {
    adoptAnnouncement(vm, params);
    const status = toStatus(vm);
    if (vm.mode === "restarting") {
        vm.restarts++;
        vm.revision = ids.toRevision(0);
    }
    return status;
};

const handleCall = (vm: FakeEntryVm, method: peers.RpcMethod, params: unknown): unknown => {
    switch (method) {
        case "config.announce":
            return handleAnnouncement(vm, params as peers.RpcMethods["config.announce"]["params"]);
        case "config.status":
            return toStatus(vm);
        case "admin.targets":
            return { targets: vm.targets };
        case "admin.explain": {
            const { call } = params as peers.RpcMethods["admin.explain"]["params"];
            return { trace: vm.traces.find(trace => trace.call === call) };
        }
        case "gossip.pull":
        case "gossip.pullChanges":
        case "config.getSections":
        case "crash.report":
        case "target.changed":
            throw new Error(`the fake entry VM does not implement the method ${method}`);
    }
};

/**
 * Creates an RPC client that is connected to the fake entry VMs.
 *
 * @param vms - the fake entry VMs
 * @returns the client
 */
export const createFakeRpc = (vms: readonly FakeEntryVm[]): peers.RpcClient => ({
    call: <M extends peers.RpcMethod>(control: types.Address, method: M, params: peers.RpcMethods[M]["params"]) => {
        const vm = vms.find(item => item.listed.control === control);
        if (vm === undefined || vm.mode === "silent") {
            return Promise.resolve<peers.RpcResult<M>>({ kind: "failed", cause: "timeout" });
        }
        const result = handleCall(vm, method, params) as peers.RpcMethods[M]["result"];
        return Promise.resolve<peers.RpcResult<M>>({ kind: "answered", result });
    },
    close: () => Promise.resolve(),
});
