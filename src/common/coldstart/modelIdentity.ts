/**
 * Canonical text of a state of the cold-lease model, used to detect equivalent states. Times are relative to now,
 * versions and tokens are reduced to their order, values without further effect are omitted, and the VMs are
 * interchangeable.
 */
import * as shared from "../Types.js";
import * as model from "./coldLeaseModel.js";
import * as types from "./Types.js";

/** Formats a state with the VMs in the given order. */
const formatWithOrder = (
    state: model.ModelState,
    order: readonly shared.IncarnationId[],
    settings: types.LeaseSettings,
): string => {
    const nowMs = state.nowMs;
    const vms = order.map(incarnation => state.vms[model.incarnations.indexOf(incarnation)]);
    const leases = vms.map(vm => vm?.lease);
    const rows = [state.table, ...vms.map(vm => vm?.pendingRead), ...leases.map(lease => lease?.observed)];
    const versions = [...new Set(rows.map(row => row?.version ?? 0).concat(state.table.version))].sort((a, b) => b - a);
    // Only the token of a write whose response was lost is ever compared with a row.
    const unknownTokens = leases.map(lease =>
        lease?.isWriteUnknown === true ? lease.pendingWrite?.row.token : undefined,
    );

    const formatHolder = (holder: shared.IncarnationId | undefined): string =>
        holder === undefined ? "-" : String(order.indexOf(holder));
    const formatVersion = (version: number): string =>
        version === 0 ? "z" : version === state.table.version ? "t" : String(versions.indexOf(version));
    const formatRow = (read: types.ReadRow | undefined): string => {
        if (read === undefined) {
            return "";
        }
        const unknownIndex = unknownTokens.findIndex(token => token !== undefined && token === read.row?.token);
        return `${formatVersion(read.version)}${formatHolder(read.row?.holder)}${unknownIndex < 0 ? "" : `w${String(unknownIndex)}`}`;
    };
    const formatWrite = (write: types.LeaseWrite): string =>
        `${write.kind}${write.version === state.table.version ? "=" : "!"}`;
    const formatRelativeTime = (atMs: number, maxAgeMs: number): string => String(Math.max(-maxAgeMs, atMs - nowMs));

    const formatLease = (lease: types.LeaseState, self: shared.IncarnationId): string => {
        const remainingMs = Math.max(0, (lease.leaseEndMs ?? nowMs) - nowMs);
        const isHeldByOther = lease.observed?.row?.holder !== undefined && lease.observed.row.holder !== self;
        const isWriteTimeRelevant = remainingMs > 0 || lease.isReleasing;
        const renewAtMs = lease.writtenAtMs + settings.renewEveryMs;
        return [
            lease.wantedUntilMs > nowMs ? "w" : "",
            lease.isReleasing ? `r${lease.token === undefined ? "" : "t"}` : "",
            remainingMs,
            isWriteTimeRelevant ? formatRelativeTime(lease.writtenAtMs, settings.leaseMs + settings.marginMs) : "",
            formatRow(lease.observed),
            isHeldByOther
                ? formatRelativeTime(lease.observed?.sinceMs ?? nowMs, settings.leaseMs + settings.marginMs)
                : "",
            remainingMs > 0 ? String(lease.lastReadAtMs >= renewAtMs) : "",
            lease.lastReadAtMs === -Infinity ? "n" : formatRelativeTime(lease.lastReadAtMs, settings.pollMs),
            lease.pendingWrite === undefined
                ? ""
                : formatWrite(lease.pendingWrite) + formatRelativeTime(lease.pendingWrite.sentAtMs, settings.leaseMs),
            lease.isWriteUnknown ? "u" : "",
            Math.max(0, lease.retryAtMs - nowMs),
        ].join(",");
    };

    const formatVm = (vm: model.ModelVm, self: shared.IncarnationId): string =>
        [
            formatLease(vm.lease, self),
            formatRow(vm.pendingRead),
            vm.sentWrites
                .map(sent => {
                    const unknownIndex = unknownTokens.indexOf(sent.write.row.token);
                    return `${formatWrite(sent.write)}${sent.outcome}${String(sent.isAwaited)}${String(unknownIndex)}`;
                })
                .join("+"),
            vm.callEndsMs.map(endMs => endMs - nowMs).join("+"),
        ].join(";");

    const texts = vms.map((vm, index) =>
        vm === undefined ? "" : formatVm(vm, order[index] ?? model.firstIncarnation),
    );
    return [formatRow(state.table), ...texts].join("|");
};

/**
 * Creates the function that formats the canonical text of a state.
 *
 * @param settings - settings of the model; the durations limit how far back a time matters
 * @returns the function; states with equal texts behave alike
 */
export const createStateFormatter = (settings: model.ModelSettings): ((state: model.ModelState) => string) => {
    const reversed = [...model.incarnations].reverse();
    return state => {
        const first = formatWithOrder(state, model.incarnations, settings.lease);
        const second = formatWithOrder(state, reversed, settings.lease);
        return first < second ? first : second;
    };
};
