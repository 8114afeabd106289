import * as fs from "node:fs";
import test from "ava";
import * as errorTable from "./errorTable.js";

test("the callers' guide documents each error kind with its answer", t => {
    const guide = fs.readFileSync("docs/callers.md", "utf8");
    const rows = guide.split("\n").map(line => line.split("|").map(cell => cell.trim()));
    for (const [kind, rule] of Object.entries(errorTable.errorTable)) {
        const row = rows.find(cells => cells[1] === `\`${kind}\``);
        t.deepEqual(row?.slice(2, 5), [String(rule.status), rule.outcome, rule.advice], kind);
    }
});

test("a status that invites a retry is never used for a call that may have run without saying so", t => {
    for (const [kind, rule] of Object.entries(errorTable.errorTable)) {
        if (rule.status === 503) {
            t.is(rule.outcome, "not-run", kind);
        }
    }
});
