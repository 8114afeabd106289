import test from "ava";
import * as fastCheck from "fast-check";
import * as ids from "../../common/ids.js";
import * as memberTable from "../../common/membership/memberTable.js";
import * as membership from "../../common/membership/Types.js";
import * as gossipCodec from "./gossipCodec.js";
import * as parameters from "./parameters.js";

const unitMs = 20;

const createRecord = (vm: number, incarnation: number, version: number, seenAtMs: number): membership.MemberRecord => ({
    info: {
        vm: ids.toVmId(`vm-${vm}`),
        incarnation: ids.toIncarnationId(`vm-${vm}.${incarnation}`),
        zone: ids.toZoneName("a"),
        address: ids.toAddress("127.0.0.1:80"),
        control: ids.toAddress("127.0.0.1:81"),
        state: version % 2 === 0 ? "serving" : "leaving",
        revision: ids.toRevision(version),
        synced: version > 1,
        epoch: version,
    },
    seenAtMs,
    version,
    loads: "",
});

/** Runs one pull of `client` from `server` and returns the members that the client knows afterwards. */
const pullChanges = (
    client: readonly membership.MemberRecord[],
    server: readonly membership.MemberRecord[],
    nowMs: number,
): ReadonlyMap<string, membership.MemberRecord> | undefined => {
    const requestMembers = gossipCodec.toKnownMembers(client);
    const request = {
        from: ids.toAddress("127.0.0.1:81"),
        revision: ids.toRevision(1),
        set: requestMembers.identityDigest,
        versions: gossipCodec.formatVersions(requestMembers),
    };
    const known = gossipCodec.toKnownMembers(server);
    const changes =
        gossipCodec.formatChanges(request, known, nowMs, unitMs) ??
        gossipCodec.formatChanges({ ...request, ids: gossipCodec.formatIds(requestMembers) }, known, nowMs, unitMs);
    const parsed = parameters.gossipChangesResult.safeParse(JSON.parse(JSON.stringify(changes)));
    if (!parsed.success) {
        return undefined;
    }
    const merged = new Map<string, membership.MemberRecord>(client.map(record => [record.info.vm, record]));
    for (const record of gossipCodec.parseChanges(
        parsed.data as unknown as gossipCodec.MemberChanges,
        requestMembers,
        nowMs,
    )) {
        merged.set(record.info.vm, memberTable.mergeRecord(merged.get(record.info.vm), record));
    }
    return merged;
};

const tables = fastCheck.uniqueArray(
    fastCheck.tuple(fastCheck.nat(5), fastCheck.nat(1), fastCheck.integer({ min: 1, max: 100 }), fastCheck.nat(4000)),
    { selector: ([vm]) => vm },
);

test("after a pull the newest record of each member is known, and no record appears more recent than it is", t => {
    fastCheck.assert(
        fastCheck.property(tables, tables, (left, right) => {
            const client = left.map(parts => createRecord(...parts));
            const server = right.map(parts => createRecord(...parts));
            const result = pullChanges(client, server, 4000);
            for (const record of server) {
                const own = client.find(other => other.info.vm === record.info.vm);
                const merged = result?.get(record.info.vm);
                t.true(merged !== undefined);
                if (own?.info.incarnation === record.info.incarnation || own === undefined) {
                    t.is(merged?.version, Math.max(record.version, own?.version ?? 0));
                    t.is(merged?.info.revision, ids.toRevision(merged?.version ?? 0));
                }
                t.true((merged?.seenAtMs ?? 0) <= Math.max(record.seenAtMs, own?.seenAtMs ?? 0));
                t.true((merged?.seenAtMs ?? 0) > record.seenAtMs - unitMs || own?.info.incarnation !== undefined);
            }
        }),
        { seed: 3, numRuns: 300 },
    );
});

test("of two incarnations the one last seen is kept, regardless of their versions", t => {
    const former = createRecord(1, 1, 90, 1000);
    const current = createRecord(1, 2, 1, 2000);
    t.is(memberTable.mergeRecord(former, current), current);
    t.is(memberTable.mergeRecord(current, former), current);
});
