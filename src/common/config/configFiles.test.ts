import * as fs from "node:fs";
import test from "ava";
import * as ids from "../ids.js";
import * as configFiles from "./configFiles.js";
import * as configuration from "./configuration.js";
import * as paths from "./paths.js";
import * as sections from "./sections.js";
import * as topologyFile from "./topologyFile.js";

const topologyText = "zones: { a: north, b: north, c: south }\nlinks:\n  - { from: b, to: a, delayMs: 7 }\n";

const listFaults = (files: Record<string, string>): string[] => {
    const result = configFiles.parseConfigFiles(Object.entries(files).map(([path, text]) => ({ path, text })));
    return result.kind === "invalid" ? result.faults.map(paths.formatFault) : [];
};

const parse = (files: Record<string, string>): configFiles.ConfigFiles => {
    const result = configFiles.parseConfigFiles(Object.entries(files).map(([path, text]) => ({ path, text })));
    if (result.kind === "invalid") {
        throw new Error(result.faults.map(paths.formatFault).join("\n"));
    }
    return result.files;
};

test("omitted fields get their defaults, and targets override the service's slots", t => {
    const text = `
service: bookings
slots: 4
idempotent: ["PUT /profiles/*"]
targets:
  - { id: b1, address: "10.0.0.1:80", zone: a }
  - { id: b2, address: "[::1]:80", zone: b, slots: 8, coldSlots: 2, vm: big, out: true }
`;
    const [service] = parse({ "x/bookings.yaml": text }).services;
    t.is(service?.path, "x/bookings.yaml");
    const [first, second] = service?.section.targets ?? [];
    t.like(first, { vm: "10.0.0.1", slots: 4, coldSlots: 1, out: false });
    t.like(second, { vm: "big", slots: 8, coldSlots: 2, out: true });
    t.like(service?.section, { deadlineMs: 10000, ownersPerZone: 1, nonIdempotent: [] });
    t.false("slots" in (service?.section ?? {}));
});

test("sections of parsed files form a valid configuration", t => {
    const service = "service: s\ntargets:\n  - { id: t1, address: '[::1]:80', zone: c }\n";
    const files = parse({ "s.yaml": service, "topology.yaml": topologyText });
    const topology = files.topology === undefined ? [] : [topologyFile.applyLayout(files.topology.layout, undefined)];
    const texts = [...files.services.map(file => file.section), ...topology].map(sections.formatSection);
    const digests = new Map(texts.map(text => [sections.computeSectionDigest(text), text]));
    const [serviceDigest, topologyDigest] = [...digests.keys()];
    const names = { "service/s": serviceDigest ?? ids.toDigest(""), topology: topologyDigest ?? ids.toDigest("") };
    const head = { revision: ids.toRevision(1), sections: names, author: "", token: "" };
    t.is(configuration.assembleConfiguration(head, digests).kind, "valid");
});

test("all faults of all files are reported at once with file and field", t => {
    const bookings = `
service: bookings
deadlineMs: 0
colour: red
idempotent: ["PUT profiles", "PUT"]
slots: 1
coldSlots: 3
targets:
  - { id: t1, address: "10.0.0.1:99999", zone: x }
  - { id: t2, address: "10.0.0.2:80", zone: a, slots: 4, coldSlots: 5 }
  - { address: "10.0.0.2:80", zone: a, colour: red }
  - { id: t4, address: "[fe80::0:A]:80", zone: a }
  - { id: t5, address: "[fe80::a]:80", zone: a }
`;
    const other = "service: bookings\ntargets:\n  - { id: t2, address: '10.0.0.1', zone: a }\n";
    const topology = "zones: { a: north, B: south }\nlinks:\n  - { from: a, to: z, delayMs: -1 }\n";
    const found = listFaults({
        "bookings.yaml": bookings,
        "other.yaml": other,
        "broken.yaml": "service: [\n",
        "topology.yaml": topology,
    });
    const expected = [
        /^broken\.yaml:2:1: Flow sequence/,
        /^topology\.yaml: zones\.B: the name of a zone must be/,
        /^topology\.yaml: links\[0\]\.delayMs: must be from 0 to/,
        /^bookings\.yaml: deadlineMs: must be a whole number from 1 to 600000$/,
        /^bookings\.yaml: idempotent\[0\]: the path "profiles" does not start/,
        /^bookings\.yaml: idempotent\[1\]: "PUT" is not a method and a path/,
        /^bookings\.yaml: colour: is not a known field/,
        /^bookings\.yaml: coldSlots: is 3, more than slots, which is 1$/,
        /^bookings\.yaml: targets\[0\]\.address: must be "ip:port" with a port from 1/,
        /^bookings\.yaml: targets\[1\]\.coldSlots: is 5, more than slots, which is 4$/,
        /^bookings\.yaml: targets\[2\]\.id: is missing/,
        /^bookings\.yaml: targets\[2\]\.colour: is not a known field/,
        /^other\.yaml: service: is "bookings"; the file must be called "bookings\.yaml"$/,
        /^other\.yaml: targets\[0\]\.address: must be "ip:port"/,
        /^other\.yaml: service: "bookings" is also given in bookings\.yaml$/,
        /^other\.yaml: targets\[0\]\.id: "t2" is also at bookings\.yaml: targets\[1\]\.id/,
        /^bookings\.yaml: targets\[2\]\.address: "10\.0\.0\.2:80" is also at bookings\.yaml: targets\[1\]\.address/,
        /^bookings\.yaml: targets\[4\]\.address: "\[fe80::a\]:80" is also at bookings\.yaml: targets\[3\]\.address/,
        /^topology\.yaml: links\[0\]\.to: zone "z" does not exist/,
        /^bookings\.yaml: targets\[0\]\.zone: zone "x" does not exist/,
    ];
    t.is(found.length, expected.length, found.join("\n"));
    expected.forEach((pattern, index) => t.regex(found[index] ?? "", pattern));
});

test("duplicate topologies and keys, empty files and target lists, and unresolved aliases are reported", t => {
    t.deepEqual(listFaults({ "a/topology.yaml": topologyText, "topology.yaml": topologyText }), [
        "topology.yaml: the topology is also given in a/topology.yaml",
    ]);
    t.regex(listFaults({ "topology.yaml": "" }).join(), /must be a map with fields among zones/);
    t.regex(listFaults({ "s.yaml": "service: s\ntargets: []\n" }).join(), /targets: must name at least one target/);
    t.regex(listFaults({ "s.yaml": "service: s\nservice: s\n" }).join(), /s\.yaml:2:1: Map keys must be unique/);
    t.regex(listFaults({ "s.yaml": "service: s\ntargets: *x\n" }).join(), /s\.yaml:?.*: Unresolved alias/);
});

test("a misspelt `service` field is reported, and unrelated YAML files are skipped", t => {
    const target = "targets:\n  - { id: t, address: '10.0.0.1:80', zone: a }\n";
    t.deepEqual(listFaults({ "s.yaml": `sevice: s\n${target}` }).length, 2);
    t.deepEqual(parse({ "compose.yaml": "services: {}\n" }).skipped, ["compose.yaml"]);
});

test("links have the delay given in the file, or the default within or between regions", t => {
    const layout = parse({ "topology.yaml": topologyText }).topology?.layout;
    const delays = layout?.links.map(link => `${link.from}-${link.to} ${link.delayMs}`);
    t.deepEqual(delays, ["a-b 7", "a-c 40", "b-c 40"]);
});

test("publishing the topology file does not return a zone or VM to service", t => {
    const layout = parse({ "topology.yaml": topologyText }).topology?.layout ?? { zones: [], links: [] };
    const first = topologyFile.applyLayout(layout, undefined);
    const zones = first.zones.map(zone => ({ ...zone, out: zone.name === ids.toZoneName("b") }));
    const second = topologyFile.applyLayout(layout, { ...first, zones, vmsOut: [ids.toVmId("vm-1")] });
    t.deepEqual(second.zones, zones);
    t.deepEqual(second.vmsOut, [ids.toVmId("vm-1")]);
});

test("the examples of docs/configuration-files.md are valid", t => {
    const page = fs.readFileSync(new URL("../../../docs/configuration-files.md", import.meta.url), "utf8");
    const examples = [...page.matchAll(/```yaml\n# (\S+)\n(.*?)```/gs)];
    const files = parse(Object.fromEntries(examples.map(([, path = "", text = ""]) => [path, text])));
    t.is(files.services.length, 1);
    t.is(files.topology?.layout.links.length, 3);
});
