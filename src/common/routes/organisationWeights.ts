/**
 * Weights and priorities of organisations, by the newest configuration.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

/** Organisations may have a rate of nearly nothing; they must get a turn all the same. */
const minWeight = 0.05;

export interface OrganisationWeights {
    setOrganisations(organisations: readonly types.Organisation[]): void;
    /**
     * The weight is the rate of the organisation's quota, as quotas follow what organisations usually send. One without
     * a limit has the greatest weight of all.
     */
    getWeight(organisation: shared.OrganisationName | undefined): number;
    /** Returns the organisation's own priority, or that of the route. */
    getPriority(organisation: shared.OrganisationName | undefined, routePriority: number): number;
}

/**
 * Creates the weights, without organisations.
 *
 * @returns the weights
 */
export const createOrganisationWeights = (): OrganisationWeights => {
    let byName: ReadonlyMap<shared.OrganisationName, types.Organisation> = new Map();
    let greatestWeight = 1;
    const find = (name: shared.OrganisationName | undefined): types.Organisation | undefined =>
        name === undefined ? undefined : byName.get(name);
    return {
        setOrganisations: organisations => {
            byName = new Map(organisations.map(organisation => [organisation.name, organisation]));
            greatestWeight = organisations.reduce((most, { perSecond }) => Math.max(most, perSecond ?? 0), minWeight);
        },
        getWeight: organisation => Math.max(minWeight, find(organisation)?.perSecond ?? greatestWeight),
        getPriority: (organisation, routePriority) => find(organisation)?.priority ?? routePriority,
    };
};
