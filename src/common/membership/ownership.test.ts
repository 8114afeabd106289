import test from "ava";
import * as config from "../config/Types.js";
import * as ids from "../ids.js";
import * as types from "../Types.js";
import * as membership from "./Types.js";
import * as ownership from "./ownership.js";

const createMember = (vm: string, zone: string, state: membership.MemberState = "serving"): membership.Member => ({
    info: {
        vm: ids.toVmId(vm),
        incarnation: ids.toIncarnationId(`${vm}-1`),
        zone: ids.toZoneName(zone),
        address: ids.toAddress("127.0.0.1:80"),
        control: ids.toAddress("127.0.0.1:81"),
        state,
        revision: ids.toRevision(1),
        synced: true,
        epoch: 0,
    },
    seenAtMs: 0,
});

const toMembers = (...members: readonly membership.Member[]): ReadonlyMap<types.VmId, membership.Member> =>
    new Map(members.map(member => [member.info.vm, member]));

interface Options {
    readonly zonesOut?: readonly string[];
    readonly vmsOut?: readonly string[];
    readonly ownersPerZone?: number;
}

const createConfiguration = (options: Options = {}): config.Configuration => {
    const zones = ["a", "b", "c"];
    const targets = zones.flatMap(zone =>
        [0, 1, 2, 3, 4, 5].map(number => ({
            id: ids.toTargetId(`t-${zone}-${number}`),
            address: ids.toAddress("127.0.0.1:1"),
            zone: ids.toZoneName(zone),
            vm: ids.toVmId(`target-${zone}-${number}`),
            slots: 4,
            coldSlots: 1,
            out: false,
        })),
    );
    const service: config.ServiceSection = {
        kind: "service",
        service: ids.toServiceName("s"),
        deadlineMs: 1000,
        connections: 10,
        queueLimit: 10,
        maxBodyBytes: 1000,
        ownersPerZone: options.ownersPerZone ?? 1,
        idempotent: [],
        nonIdempotent: [],
        targets,
    };
    return {
        revision: ids.toRevision(1),
        digests: new Map(),
        topology: {
            kind: "topology",
            zones: zones.map(zone => ({
                name: ids.toZoneName(zone),
                region: ids.toRegionName("r"),
                out: options.zonesOut?.includes(zone) ?? false,
            })),
            links: [],
            vmsOut: (options.vmsOut ?? []).map(ids.toVmId),
        },
        services: new Map([[service.service, service]]),
    };
};

const toCell = (zone: string): types.CellId => ids.toCellId(ids.toServiceName("s"), ids.toZoneName(zone));

const listOwners = (result: membership.Ownership, zone: string): readonly string[] =>
    result.listCellOwners(toCell(zone)).map(member => member.info.vm);

test("the owners do not depend on the order of the members", t => {
    const members = ["v1", "v2", "v3", "v4"].map(vm => createMember(vm, "a"));
    const configuration = createConfiguration({ ownersPerZone: 2 });
    const first = ownership.computeOwnership(toMembers(...members), configuration);
    const second = ownership.computeOwnership(toMembers(...[...members].reverse()), configuration);
    for (const zone of ["a", "b", "c"]) {
        t.is(listOwners(first, zone).length, 2);
        t.deepEqual(listOwners(first, zone), listOwners(second, zone));
    }
});

test("the members in a zone own its cells; if there are none, members of other zones do", t => {
    const result = ownership.computeOwnership(
        toMembers(createMember("v1", "a"), createMember("v2", "b")),
        createConfiguration(),
    );
    t.deepEqual(listOwners(result, "a"), ["v1"]);
    t.deepEqual(listOwners(result, "b"), ["v2"]);
    t.is(listOwners(result, "c").length, 1);
});

test("starting or leaving members, and VMs and zones out of service, own nothing", t => {
    const result = ownership.computeOwnership(
        toMembers(
            createMember("v1", "a", "leaving"),
            createMember("v2", "a", "starting"),
            createMember("v3", "b"),
            createMember("v4", "c"),
            createMember("v5", "a"),
        ),
        createConfiguration({ zonesOut: ["b"], vmsOut: ["v5"] }),
    );
    t.deepEqual(listOwners(result, "a"), ["v4"]);
    t.deepEqual(listOwners(result, "b"), []);
    t.is(result.findTargetOwner(ids.toTargetId("t-b-0")), undefined);
    t.is(result.findTargetOwner(ids.toTargetId("unknown")), undefined);
});

test("with several owners per cell, each target is assigned to one of them", t => {
    const members = ["v1", "v2", "v3", "v4"].map(vm => createMember(vm, "a"));
    const result = ownership.computeOwnership(toMembers(...members), createConfiguration({ ownersPerZone: 2 }));
    const owners = new Set(
        [0, 1, 2, 3, 4, 5].map(number => result.findTargetOwner(ids.toTargetId(`t-a-${number}`))?.info.vm as string),
    );
    t.deepEqual([...owners].sort(), [...listOwners(result, "a")].sort());
});

test("when a member leaves, cells of other members keep their owners", t => {
    const members = ["v1", "v2", "v3", "v4", "v5"].map(vm => createMember(vm, "a"));
    const configuration = createConfiguration();
    const before = ownership.computeOwnership(toMembers(...members), configuration);
    const owner = listOwners(before, "a")[0];
    const others = members.filter(member => member.info.vm !== owner && member.info.vm !== listOwners(before, "b")[0]);
    const remainingMembers = toMembers(...members.filter(member => member !== others[0]));
    t.deepEqual(listOwners(ownership.computeOwnership(remainingMembers, configuration), "a"), [owner]);
});
