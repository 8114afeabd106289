import * as fs from "node:fs";
import test from "ava";
import * as paths from "../../common/config/paths.js";
import * as definitions from "./definitions.js";
import * as entrySettings from "./entrySettings.js";
import * as settingsPage from "./settingsPage.js";

const listFaults = (flags: entrySettings.FlagValues, env: entrySettings.Environment = {}): string[] => {
    const result = entrySettings.parseEntrySettings({ zone: "a", ...flags }, env);
    return result.kind === "invalid" ? result.faults.map(paths.formatFault) : [];
};

test("only the zone is required, and the VM name is derived from the address", t => {
    const result = entrySettings.parseEntrySettings({}, { TARRAGONPATH_ZONE: "a" });
    t.like(result.kind === "valid" && result.settings, {
        vm: "127.0.0.1-8080",
        zone: "a",
        control: "127.0.0.1:9080",
        platform: "http://127.0.0.1:7000",
        freshnessMs: 3000,
        drainTimeoutMs: 610000,
        keptAnswerBytes: 8388608,
        logLevel: "info",
    });
    t.is(result.kind === "valid" && Object.keys(result.settings).length, definitions.listSettingFields().length);
    const ipv6 = entrySettings.parseEntrySettings({ zone: "a", listen: "[::1]:80" }, {});
    t.is(ipv6.kind === "valid" && String(ipv6.settings.vm), "ip6---1-80");
});

test("a flag takes precedence over a variable, which takes precedence over the default", t => {
    const env = { TARRAGONPATH_HEAD_POLL_MS: "700", TARRAGONPATH_MAX_KEYS: "5", TARRAGONPATH_LISTEN: "" };
    const result = entrySettings.parseEntrySettings({ zone: "a", headPollMs: "800" }, env);
    t.like(result.kind === "valid" && result.settings, { headPollMs: 800, maxKeys: 5, listen: "127.0.0.1:8080" });
});

test("each invalid setting is reported with its flag or variable, its value and the allowed values", t => {
    const faults = listFaults(
        { listen: "localhost:80", freshnessMs: "3s", logLevel: "loud", platform: "tcp://x" },
        { TARRAGONPATH_COLD_LEASE_MS: "0", TARRAGONPATH_VM: "A B" },
    );
    t.is(faults.length, 6);
    t.regex(
        faults.join("\n"),
        /^--freshness-ms: "3s" is not allowed; allowed is a whole number from 100 to 10000 \(ms\)$/m,
    );
    t.regex(faults.join("\n"), /^TARRAGONPATH_COLD_LEASE_MS: "0" is not allowed; allowed is a whole number/m);
    t.regex(faults.join("\n"), /^TARRAGONPATH_VM: "A B" is not allowed/m);
    t.regex(listFaults({ zone: undefined }).join(), /^--zone or TARRAGONPATH_ZONE: is required/);
    for (const text of ["0.0.0.0:80", "[::]:80", "127.0.0.1:0", "300.1.1.1:80", "127.0.0.1:08", "::1:80"]) {
        t.is(listFaults({ listen: text }).length, 1, text);
    }
    for (const text of ["http://1.2.3.4:7000/x", "7000", "http://u@1.2.3.4"]) {
        t.is(listFaults({ platform: text }).length, 1, text);
    }
});

test("settings that contradict each other are rejected", t => {
    t.regex(listFaults({ control: "127.0.0.1:8080" }).join(), /^--control: .* must differ from --listen/);
    t.regex(listFaults({ headPollMs: "3000" }).join(), /^--head-poll-ms: .* less than --freshness-ms, which is 3000/);
    t.regex(listFaults({ memberTimeoutMs: "900" }).join(), /^--gossip-interval-ms: .* less than --member-timeout-ms/);
});

test("docs/settings.md matches the page generated from the definitions", t => {
    const page = new URL("../../../docs/settings.md", import.meta.url);
    t.is(fs.readFileSync(page, "utf8"), settingsPage.formatSettingsPage());
});
