/**
 * Identity of a state of the cold-lease model. Times are written relative to now, versions and tokens by their order, and
 * what cannot influence the behaviour any more is left out. The two VMs are interchangeable.
 */
import * as shared from "../Types.js";
import * as model from "./coldLeaseModel.js";
import * as types from "./Types.js";

/** Writes the parts of one state, with the VMs in one of the two orders. */
const formatInOrder = (
    state: model.ModelState,
    order: readonly shared.IncarnationId[],
    settings: types.LeaseSettings,
): string => {
    const nowMs = state.nowMs;
    const vms = order.map(incarnation => state.vms[model.incarnations.indexOf(incarnation)]);
    const leases = vms.map(vm => vm?.lease);
    const rows = [state.table, ...vms.map(vm => vm?.reading), ...leases.map(lease => lease?.seen)];
    const versions = [...new Set(rows.map(row => row?.version ?? 0).concat(state.table.version))].sort((a, b) => b - a);
    // Only the token of a write whose answer was lost is ever compared with a row.
    const unknown = leases.map(lease => (lease?.isUnknown === true ? lease.write?.row.token : undefined));

    const formatHolder = (holder: shared.IncarnationId | undefined): string =>
        holder === undefined ? "-" : String(order.indexOf(holder));
    const formatVersion = (version: number): string =>
        version === 0 ? "z" : version === state.table.version ? "t" : String(versions.indexOf(version));
    const formatRow = (read: types.ReadRow | undefined): string => {
        if (read === undefined) {
            return "";
        }
        const written = unknown.findIndex(token => token !== undefined && token === read.row?.token);
        return `${formatVersion(read.version)}${formatHolder(read.row?.holder)}${written < 0 ? "" : `w${String(written)}`}`;
    };
    const formatWrite = (write: types.LeaseWrite): string =>
        `${write.kind}${write.version === state.table.version ? "=" : "!"}`;
    const formatPast = (atMs: number, depthMs: number): string => String(Math.max(-depthMs, atMs - nowMs));

    const formatLease = (lease: types.LeaseState, self: shared.IncarnationId): string => {
        const heldMs = Math.max(0, (lease.endMs ?? nowMs) - nowMs);
        const isForeign = lease.seen?.row?.holder !== undefined && lease.seen.row.holder !== self;
        const isWrittenUsed = heldMs > 0 || lease.isReleasing;
        const renewAtMs = lease.writtenAtMs + settings.renewEveryMs;
        return [
            lease.wantedUntilMs > nowMs ? "w" : "",
            lease.isReleasing ? `r${lease.token === undefined ? "" : "t"}` : "",
            heldMs,
            isWrittenUsed ? formatPast(lease.writtenAtMs, settings.leaseMs + settings.marginMs) : "",
            formatRow(lease.seen),
            isForeign ? formatPast(lease.seen?.sinceMs ?? nowMs, settings.leaseMs + settings.marginMs) : "",
            heldMs > 0 ? String(lease.readAtMs >= renewAtMs) : "",
            lease.readAtMs === -Infinity ? "n" : formatPast(lease.readAtMs, settings.pollMs),
            lease.write === undefined
                ? ""
                : formatWrite(lease.write) + formatPast(lease.write.sentAtMs, settings.leaseMs),
            lease.isUnknown ? "u" : "",
            Math.max(0, lease.retryAtMs - nowMs),
        ].join(",");
    };

    const formatVm = (vm: model.ModelVm, self: shared.IncarnationId): string =>
        [
            formatLease(vm.lease, self),
            formatRow(vm.reading),
            vm.sent
                .map(sent => {
                    const written = unknown.indexOf(sent.write.row.token);
                    return `${formatWrite(sent.write)}${sent.outcome}${String(sent.isAwaited)}${String(written)}`;
                })
                .join("+"),
            vm.calls.map(endMs => endMs - nowMs).join("+"),
        ].join(";");

    const texts = vms.map((vm, index) =>
        vm === undefined ? "" : formatVm(vm, order[index] ?? model.firstIncarnation),
    );
    return [formatRow(state.table), ...texts].join("|");
};

/**
 * Creates the function that names a state.
 *
 * @param settings - durations, which bound how far back a time matters
 * @returns the function; equal names mean states that behave alike
 */
export const createFormatState = (settings: model.ModelSettings): ((state: model.ModelState) => string) => {
    const swapped = [...model.incarnations].reverse();
    return state => {
        const first = formatInOrder(state, model.incarnations, settings.lease);
        const second = formatInOrder(state, swapped, settings.lease);
        return first < second ? first : second;
    };
};
