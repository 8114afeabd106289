/**
 * Messages about quotas between VMs. Rows are lists, as a message is sent ten times a second while requests arrive.
 */
import * as quota from "../../common/routes/quota.js";
import * as shared from "../../common/Types.js";

/** Organisation, `charged`, `expired`, `wanted`, and pairs of `takenAtMs` and `count` of returned tokens. */
type ReportRow = readonly [shared.OrganisationName, number, number, number, ...number[]];

/** Organisation, `settled`, `granted`, `creditShare`, `roomInMs`. */
type AcknowledgementRow = readonly [shared.OrganisationName, number, number, number | null, number | null];

/** Organisations whose counts have changed since the last report. */
export interface ReportMessage {
    /** Counts the ledgers that the VM has reported to; repeated in the acknowledgement. */
    readonly session: number;
    /** Time of the report by the clock of the VM that sends it; repeated in the acknowledgement. */
    readonly atMs: number;
    readonly rows: readonly ReportRow[];
}

export interface AcknowledgementMessage {
    readonly session: number;
    readonly reportedAtMs: number;
    /** Time by the ledger's clock. */
    readonly takenAtMs: number;
    readonly rows: readonly AcknowledgementRow[];
}

/**
 * Encodes a report about an organisation.
 *
 * @param organisation - the organisation
 * @param report - the report
 * @returns the row
 */
export const encodeReport = (organisation: shared.OrganisationName, report: quota.QuotaReport): ReportRow => [
    organisation,
    report.charged,
    report.expired,
    report.wanted,
    ...report.returned.flatMap(({ takenAtMs, count }) => [takenAtMs, count]),
];

/**
 * Decodes a report about an organisation.
 *
 * @param row - the row
 * @returns the report
 */
export const decodeReport = ([, charged, expired, wanted, ...pairs]: ReportRow): quota.QuotaReport => {
    const returned: quota.ReturnedTokens[] = [];
    for (let at = 0; at + 1 < pairs.length; at += 2) {
        returned.push({ takenAtMs: pairs[at] ?? 0, count: pairs[at + 1] ?? 0 });
    }
    return { charged, expired, wanted, returned };
};

/**
 * Encodes an acknowledgement.
 *
 * @param organisation - the organisation
 * @param acknowledgement - the acknowledgement
 * @returns the row
 */
export const encodeAcknowledgement = (
    organisation: shared.OrganisationName,
    { settled, granted, creditShare, roomInMs }: quota.QuotaAcknowledgement,
): AcknowledgementRow => [organisation, settled, granted, creditShare, roomInMs];

/**
 * Decodes an acknowledgement.
 *
 * @param row - the row
 * @returns the acknowledgement
 */
export const decodeAcknowledgement = ([
    ,
    settled,
    granted,
    creditShare,
    roomInMs,
]: AcknowledgementRow): quota.QuotaAcknowledgement => ({ settled, granted, creditShare, roomInMs });
