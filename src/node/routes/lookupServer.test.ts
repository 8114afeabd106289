import test from "ava";
import * as undici from "undici";
import * as ids from "../../common/ids.js";
import * as ports from "../../testing/system/ports.js";
import * as lookupServer from "./lookupServer.js";
import * as types from "./Types.js";

const dialect: types.LookupDialect = {
    readinessPath: "/ready",
    parseLookup: url => {
        if (url === "//") {
            throw new TypeError("Invalid URL");
        }
        return url === "/lookup" ? { zone: undefined } : undefined;
    },
    formatLookup: addresses => addresses.join(),
};

// Guards against a lookup of one caller that ends the process, and with it the requests of all clients.
test("a lookup whose handling fails ends with 500, and the next one is answered", async t => {
    const address = ids.toAddress(await ports.acquireAddress());
    const errors: unknown[] = [];
    const server = await lookupServer.listenForLookups({
        address,
        dialect,
        getLifetimeMs: () => 1_000,
        isReady: () => true,
        pickActiveAddresses: () => [address],
        recordError: error => void errors.push(error),
    });
    const client = new undici.Client(`http://${address}`);
    const fetchStatus = async (path: string): Promise<number> => {
        const { statusCode, body } = await client.request({ method: "GET", path });
        await body.dump();
        return statusCode;
    };
    t.is(await fetchStatus("//"), 500);
    t.is(await fetchStatus("/lookup"), 200);
    t.is(await fetchStatus("/ready"), 200);
    t.is(errors.length, 1);
    await client.close();
    server.dispose();
});

// Guards against clients that stay with a VM which did not know the others yet, for the lifetime of its first responses.
test("lookup responses of a VM that has just started live for a short time", t => {
    t.is(lookupServer.computeLifetimeMs(100, 5_000), 500);
    t.is(lookupServer.computeLifetimeMs(2_000, 5_000), 3_000);
    t.is(lookupServer.computeLifetimeMs(2_000, 1_000), 1_000);
});
