import test from "ava";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as undici from "undici";
import * as configFiles from "../../common/config/configFiles.js";
import * as deployments from "./deployments.js";
import * as system from "./system.js";

test("the stand-ins of a deployment run as processes, and its files form a valid configuration", async t => {
    const plan = { ...deployments.fraserbank, entries: 0 };
    const running = await system.startSystem({ plan, seed: 1 });
    t.is(Object.keys(running.targets).length, 26);
    const names = await fs.readdir(running.configFolder);
    const sources = await Promise.all(
        names.map(async name => ({
            path: name,
            text: await fs.readFile(path.join(running.configFolder, name), "utf8"),
        })),
    );
    const parsed = configFiles.parseConfigFiles(sources);
    t.is(parsed.kind, "valid", JSON.stringify(parsed));
    await undici.request(`http://${running.targets["profiles-1"]}/profiles/7`);
    await running.setTargetFaults("profiles-2", { crash: true });
    const events = await running.readTargetEvents();
    t.deepEqual(
        events.map(event => `${event.target} ${event.kind}`),
        ["profiles-1 started", "profiles-1 received", "profiles-1 finished", "profiles-2 crashed"],
    );
    await running.setPlatformFaults({ table: "refuse" });
    t.is((await undici.request(`${running.platformUrl}/rows/a`)).statusCode, 503);
    await running.close();
    await t.throwsAsync(undici.request(running.platformUrl));
});

test("entry VMs are listed in the order of the plan, regardless of which starts first", async t => {
    const plan = { ...deployments.fraserbank, entries: 3 };
    const running = await system.startSystem({ plan, seed: 1 });
    t.deepEqual(
        running.entries.map(({ vm, zone }) => ({ vm, zone })),
        deployments.listEntries(plan).map(({ vm, zone }) => ({ vm, zone })),
    );
    await running.close();
});
