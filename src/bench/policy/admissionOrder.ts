/**
 * Command that prints who waited and who was refused, with the order of arrival and with the fair order:
 * `node out/bench/policy/admissionOrder.js [seeds]`.
 */
import * as admissionLoad from "../../testing/routes/admissionLoad.js";

const formatShare = (part: number, whole: number): string => (whole === 0 ? "-" : (part / whole).toFixed(3));
const formatMean = (sum: number, count: number): string => (count === 0 ? "-" : (sum / count).toFixed(0));

const addTally = (sum: admissionLoad.Tally | undefined, tally: admissionLoad.Tally): admissionLoad.Tally => ({
    requests: (sum?.requests ?? 0) + tally.requests,
    served: (sum?.served ?? 0) + tally.served,
    inTime: (sum?.inTime ?? 0) + tally.inTime,
    refusals: (sum?.refusals ?? 0) + tally.refusals,
    refusalWaitMs: (sum?.refusalWaitMs ?? 0) + tally.refusalWaitMs,
    slotWaitMs: (sum?.slotWaitMs ?? 0) + tally.slotWaitMs,
    slots: (sum?.slots ?? 0) + tally.slots,
    reasons: Object.fromEntries(
        [...new Set([...Object.keys(sum?.reasons ?? {}), ...Object.keys(tally.reasons)])].map(reason => [
            reason,
            (sum?.reasons[reason] ?? 0) + (tally.reasons[reason] ?? 0),
        ]),
    ),
});

/** What a late answer is worth to a client, compared with one in time; an assumption of this comparison only. */
const lateValue = 0.3;

/** Groups organisations, so that a table stays short. */
const toGroup = (organisation: string): string => {
    const rank = Number(organisation.slice(1));
    return rank <= 3 ? organisation : rank <= 10 ? "o4 to o10" : "o11 to o71";
};

const seedCount = Number(process.argv[2] ?? 3);
for (const load of admissionLoad.loads) {
    console.log(`\n${load.name}\n`);
    console.log(
        "| order | who | requests | served | in time | value | refusals | wait ms | refused after ms | reasons |",
    );
    console.log("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const order of ["arrival", "fair"] as const) {
        const rows = new Map<string, admissionLoad.Tally>();
        for (let seed = 1; seed <= seedCount; seed++) {
            const result = await admissionLoad.runLoad(load, order, seed);
            const add = (who: string, tally: admissionLoad.Tally): void =>
                void rows.set(who, addTally(rows.get(who), tally));
            add("all", result.all);
            result.byKind.forEach((tally, kind) => add(kind, tally));
            if (load.organisations.length > 0) {
                result.byOrganisation.forEach((tally, organisation) => add(toGroup(organisation), tally));
            }
        }
        for (const [who, tally] of rows) {
            const { requests, served, inTime, refusals, reasons } = tally;
            const cells = [
                order,
                who,
                requests,
                formatShare(served, requests),
                formatShare(inTime, requests),
                formatShare(inTime + lateValue * (served - inTime), requests),
                formatShare(refusals, requests),
                formatMean(tally.slotWaitMs, tally.slots),
                formatMean(tally.refusalWaitMs, refusals),
                Object.entries(reasons)
                    .map(([reason, count]) => `${reason} ${String(count)}`)
                    .join(", "),
            ];
            console.log(`| ${cells.join(" | ")} |`);
        }
    }
}
