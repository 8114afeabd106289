import * as fs from "node:fs";
import test from "ava";
import * as errorTable from "./errorTable.js";

test("docs/callers.md documents each error kind with its response", t => {
    const guide = fs.readFileSync("docs/callers.md", "utf8");
    const rows = guide.split("\n").map(line => line.split("|").map(cell => cell.trim()));
    for (const [kind, response] of Object.entries(errorTable.errorTable)) {
        const row = rows.find(cells => cells[1] === `\`${kind}\``);
        t.deepEqual(row?.slice(2, 5), [String(response.status), response.outcome, response.advice], kind);
    }
});

test("status 503, which invites a retry, is used only for calls that did not run", t => {
    for (const [kind, response] of Object.entries(errorTable.errorTable)) {
        if (response.status === 503) {
            t.is(response.outcome, "not-run", kind);
        }
    }
});
