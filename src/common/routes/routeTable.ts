/**
 * Finds the route and the service of a request.
 */
import * as shared from "../Types.js";
import * as callerTable from "./callers.js";
import * as types from "./Types.js";

export interface RouteTable {
    /** Version of the configuration that the table was created from. */
    readonly version: number;
    /** The callers that the same configuration knows. */
    readonly callers: callerTable.CallerTable;
    /**
     * Finds the route with the longest matching prefix.
     *
     * @param host - host of the request, without port
     * @param path - the path, without query
     * @returns the route, or undefined if none matches
     */
    find(host: string, path: string): types.Route | undefined;
    /**
     * Checks whether requests of a route can be sent to a service.
     *
     * @param route - the route
     * @returns false if no service has a weight above 0
     */
    hasService(route: types.Route): boolean;
    /**
     * Picks the service for the next request in proportion to the weights.
     *
     * @param route - the request's route
     * @returns the service, or undefined if no service has a weight above 0
     */
    pickService(route: types.Route): shared.ServiceName | undefined;
}

/** Smooth weighted round robin: each service gains its weight as credit; the one with the most credit is selected. */
const createSplit = (services: readonly types.WeightedService[]): (() => shared.ServiceName | undefined) => {
    const weighted = services.filter(entry => entry.weight > 0).map(entry => ({ ...entry, credit: 0 }));
    const total = weighted.reduce((sum, entry) => sum + entry.weight, 0);
    return () => {
        let selected = weighted[0];
        for (const entry of weighted) {
            entry.credit += entry.weight;
            if (selected === undefined || entry.credit > selected.credit) {
                selected = entry;
            }
        }
        if (selected !== undefined) {
            selected.credit -= total;
        }
        return selected?.service;
    };
};

/**
 * Creates the route table of a configuration.
 *
 * @param configuration - its version, all routes and all organisations
 * @returns the table
 */
export const createRouteTable = (
    configuration: Pick<types.RouteConfiguration, "version" | "routes" | "organisations">,
): RouteTable => {
    const { version, routes, organisations } = configuration;
    const byHost = new Map<string, types.Route[]>();
    for (const route of routes) {
        const list = byHost.get(route.host) ?? [];
        list.push(route);
        byHost.set(route.host, list);
    }
    for (const list of byHost.values()) {
        list.sort((left, right) => right.prefix.length - left.prefix.length);
    }
    const splits = new Map<types.Route, () => shared.ServiceName | undefined>();
    for (const route of routes) {
        splits.set(route, createSplit(route.services));
    }
    return {
        version,
        callers: callerTable.createCallerTable(organisations),
        find: (host, path) => byHost.get(host)?.find(route => path.startsWith(route.prefix)),
        hasService: route => route.services.some(({ weight }) => weight > 0),
        pickService: route => splits.get(route)?.(),
    };
};
