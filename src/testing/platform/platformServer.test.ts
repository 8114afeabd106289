import test from "ava";
import * as undici from "undici";
import * as ids from "../../common/ids.js";
import * as platformServer from "./platformServer.js";

const transact = (url: string, body: unknown): Promise<undici.Dispatcher.ResponseData> =>
    undici.request(`${url}/transact`, { method: "POST", body: JSON.stringify(body) });

test("a transaction commits only if all conditions hold", async t => {
    const server = await platformServer.startPlatformServer();
    const insert = { conditions: [{ key: "config/head", version: 0 }], writes: [{ key: "config/head", value: 1 }] };
    const first = await transact(server.url, insert);
    t.is(first.statusCode, 200);
    t.deepEqual(await first.body.json(), { kind: "committed" });
    const second = await transact(server.url, insert);
    t.is(second.statusCode, 409);
    const conflict = (await second.body.json()) as { kind: string; rows: { key: string; version: number }[] };
    t.is(conflict.kind, "conflict");
    const row = await undici.request(`${server.url}/rows/config/head`);
    t.deepEqual(await row.body.json(), { key: "config/head", version: conflict.rows[0]?.version, value: 1 });
    t.is((await undici.request(`${server.url}/rows/config%2Fnone`)).statusCode, 404);
    await transact(server.url, { conditions: [], writes: [{ key: "config/head" }] });
    const scan = await undici.request(`${server.url}/rows?prefix=config/`);
    t.deepEqual(await scan.body.json(), { rows: [] }, "a write without a value deletes the row");
    await server.close();
});

test("a lost response closes the connection after the commit", async t => {
    const server = await platformServer.startPlatformServer();
    server.setFaults({ loseAnswers: 1 });
    await t.throwsAsync(transact(server.url, { conditions: [], writes: [{ key: "a", value: 1 }] }));
    t.is((await undici.request(`${server.url}/rows/a`)).statusCode, 200);
    server.setFaults({ loseRequests: 1 });
    await t.throwsAsync(transact(server.url, { conditions: [], writes: [{ key: "b", value: 1 }] }));
    t.is((await undici.request(`${server.url}/rows/b`)).statusCode, 404);
    await server.close();
});

test("outages of the table and of the object store are independent, and the list of VMs can lag", async t => {
    const server = await platformServer.startPlatformServer();
    await undici.request(`${server.url}/faults`, { method: "POST", body: JSON.stringify({ table: "refuse" }) });
    t.is((await transact(server.url, { conditions: [], writes: [] })).statusCode, 503);
    const put = await undici.request(`${server.url}/objects/abc`, { method: "PUT", body: "text" });
    t.is(put.statusCode, 200);
    server.setFaults({ objects: "refuse", table: "none" });
    t.is((await undici.request(`${server.url}/objects/abc`)).statusCode, 503);
    server.setFaults({ objects: "none", listLagMs: 60_000 });
    t.is(await (await undici.request(`${server.url}/objects/abc`)).body.text(), "text");
    server.setVm({ vm: ids.toVmId("e1"), role: "entry", state: "live", zone: ids.toZoneName("a") });
    t.deepEqual(await (await undici.request(`${server.url}/vms`)).body.json(), { vms: [] });
    server.setFaults({ listLagMs: 0 });
    const listed = (await (await undici.request(`${server.url}/vms`)).body.json()) as { vms: unknown[] };
    t.is(listed.vms.length, 1);
    await server.close();
});
