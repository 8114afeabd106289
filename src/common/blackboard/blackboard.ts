/**
 * Creates the blackboard and its fields.
 */
import * as config from "../config/Types.js";
import * as events from "../events.js";
import * as freshness from "../freshness/Types.js";
import * as ids from "../ids.js";
import * as membership from "../membership/Types.js";
import * as shared from "../Types.js";
import * as types from "./Types.js";

/**
 * Creates a field with a single writer.
 *
 * @param name - name of the field, for error messages
 * @param initial - initial value
 * @returns the field
 */
export const createField = <T>(name: string, initial: T): types.Field<T> => {
    const emitter = events.createEmitter<T>();
    let value = initial;
    let currentWriter: string | undefined;
    return {
        get: () => value,
        onDidChange: emitter.event,
        takeWriter: writer => {
            if (currentWriter !== undefined) {
                throw new Error(`field ${name} is written by ${currentWriter}, so ${writer} cannot write it`);
            }
            currentWriter = writer;
            return next => {
                value = next;
                emitter.fire(next);
            };
        },
    };
};

/**
 * Creates the blackboard of an entry daemon.
 *
 * @param self - identity and addresses of this entry VM
 * @returns the blackboard, without configuration and members
 */
export const createBlackboard = (self: types.LocalVm): types.Blackboard => ({
    self,
    lifecycle: createField<types.LifecycleState>("lifecycle", "starting"),
    configuration: createField<config.Configuration | undefined>("configuration", undefined),
    freshness: createField<freshness.FreshnessState>("freshness", {
        revision: ids.toRevision(0),
        confirmedAtMs: undefined,
    }),
    members: createField<ReadonlyMap<shared.VmId, membership.Member>>("members", new Map()),
    ownership: createField<membership.Ownership>("ownership", {
        listCellOwners: () => [],
        findTargetOwner: () => undefined,
    }),
    cellLoads: createField<ReadonlyMap<shared.CellId, readonly membership.CellLoad[]>>("cellLoads", new Map()),
});
