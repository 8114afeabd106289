import test from "ava";
import * as ids from "../ids.js";
import * as config from "./Types.js";
import * as configuration from "./configuration.js";
import * as paths from "./paths.js";
import * as sections from "./sections.js";

const createTarget = (id: string, port: number, zone = "a"): config.TargetConfig => ({
    id: ids.toTargetId(id),
    address: ids.toAddress(`127.0.0.1:${port}`),
    zone: ids.toZoneName(zone),
    vm: ids.toVmId("vm-1"),
    slots: 4,
    coldSlots: 1,
    out: false,
});

const createService = (name: string, targets: config.TargetConfig[]): config.ServiceSection => ({
    kind: "service",
    service: ids.toServiceName(name),
    deadlineMs: 1000,
    connections: 10,
    queueLimit: 10,
    maxBodyBytes: 1000,
    ownersPerZone: 1,
    idempotent: [{ method: "PUT", path: "/a" }],
    nonIdempotent: [],
    targets,
});

const createTopology = (...zones: string[]): config.TopologySection => ({
    kind: "topology",
    zones: zones.map(name => ({ name: ids.toZoneName(name), region: ids.toRegionName("r"), out: false })),
    links: [],
    vmsOut: [],
});

const assemble = (...sectionList: config.Section[]): config.AssembleResult => {
    const texts = sectionList.map(section => sections.formatSection(section));
    const digests = texts.map(text => sections.computeSectionDigest(text));
    const head: config.ConfigHead = {
        revision: ids.toRevision(3),
        sections: Object.fromEntries(
            sectionList.map((section, index) => [sections.toSectionName(section), digests[index] ?? ids.toDigest("")]),
        ),
        author: "test",
        token: "t",
    };
    return configuration.assembleConfiguration(head, new Map(digests.map((digest, i) => [digest, texts[i] ?? ""])));
};

const listFaults = (result: config.AssembleResult): string[] =>
    result.kind === "invalid" ? result.faults.map(paths.formatFault) : [];

test("a complete set of sections is assembled into a configuration", t => {
    const service = createService("bookings", [createTarget("b1", 1)]);
    const result = assemble(service, createTopology("a"));
    t.is(result.kind, "valid");
    if (result.kind === "valid") {
        t.deepEqual(result.configuration.services.get(service.service), service);
        t.is(result.configuration.revision, ids.toRevision(3));
        t.is(result.configuration.digests.size, 2);
    }
});

test("the order of targets and zones does not change the text of a section", t => {
    const targets = [createTarget("b1", 1), createTarget("b2", 2)];
    const service = createService("s", targets);
    const reversed = createService("s", [...targets].reverse());
    t.is(sections.formatSection(service), sections.formatSection(reversed));
    t.is(sections.formatSection(createTopology("a", "b")), sections.formatSection(createTopology("b", "a")));
    t.not(sections.formatSection(service), sections.formatSection({ ...service, deadlineMs: 2 }));
});

test("faults across sections are reported together", t => {
    const result = assemble(
        createService("bookings", [createTarget("t1", 1), createTarget("t2", 1, "x")]),
        createService("profiles", [createTarget("t1", 2)]),
        createTopology("a"),
    );
    t.deepEqual(listFaults(result), [
        'service/profiles: targets[0].id: "t1" is also at service/bookings: targets[0].id; ' +
            "a target id names one target over all services",
        'service/bookings: targets[1].address: "127.0.0.1:1" is also at service/bookings: targets[0].address; ' +
            "a server's slots would be counted twice",
        'service/bookings: targets[1].zone: zone "x" does not exist; the topology has a',
    ]);
});

test("a configuration with a missing, altered or misnamed section is rejected", t => {
    const topology = createTopology("a");
    const text = sections.formatSection(topology);
    const digest = sections.computeSectionDigest(text);
    const run = (name: string, texts: [string, string][]) =>
        listFaults(
            configuration.assembleConfiguration(
                { revision: ids.toRevision(1), sections: { [name]: digest }, author: "", token: "" },
                new Map(texts.map(([key, value]) => [ids.toDigest(key), value])),
            ),
        );
    t.deepEqual(run("topology", [[digest, text]]), []);
    t.regex(run("topology", []).join(), /is missing/);
    t.regex(run("topology", [[digest, `${text} `]]).join(), /does not have the digest/);
    t.regex(run("service/x", [[digest, text]]).join(), /belongs to "topology"/);
    t.deepEqual(listFaults(assemble(createService("s", []))), ["topology: the topology is missing"]);
});

test("a stored section with out-of-range values is rejected, and unknown fields are ignored", t => {
    const service = createService("s", [{ ...createTarget("t", 1), coldSlots: 9 }]);
    const result = sections.parseSection(sections.formatSection(service), "s");
    t.is(
        result.kind === "invalid" && result.faults.map(paths.formatFault).join(),
        "s: targets[0].coldSlots: must be at most slots",
    );
    const text = JSON.stringify({ ...createTopology("a"), added: 1 });
    t.is(sections.parseSection(text).kind, "valid");
    t.is(sections.parseSection("{").kind, "invalid");
    t.is(sections.parseHead({ revision: 0 }), undefined);
});
