/**
 * Measures configurations, lookups and the periodic work of the dispatcher, by number of targets.
 */
import * as blackboards from "../../common/blackboard/blackboard.js";
import * as config from "../../common/config/Types.js";
import * as configuration from "../../common/config/configuration.js";
import * as ids from "../../common/ids.js";
import * as membership from "../../common/membership/Types.js";
import * as ownership from "../../common/membership/ownership.js";
import * as fixture from "../../common/routing/fixture.js";
import * as lookups from "../../node/front/lookup.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as controlCost from "./controlCost.js";
import * as placement from "./placement.js";
import * as processorTime from "./processorTime.js";
import * as sectionFixture from "./sectionFixture.js";
import * as types from "./Types.js";

type NamedFigures = Readonly<Record<string, readonly [value: number, unit: string]>>;

const createSetup = (size: types.ConfigurationSize) => {
    const list = sectionFixture.createSections(size);
    const stored = sectionFixture.createHead(list, 1000);
    const current = placement.createConfiguration(size, 1);
    const zones = sectionFixture.listZones(size);
    const members = placement.createMembers(controlCost.targetEntries, zones, 0);
    return { list, stored, current, members };
};

type Setup = ReturnType<typeof createSetup>;

const measureBytes = ({ list, stored, current, members }: Setup): NamedFigures => {
    const { head, texts } = stored;
    const row = { key: "config/head", version: 1000, value: head };
    const [digest, text] = [...texts][0] ?? ["", ""];
    const params = { head, sections: { [digest]: text } };
    const announcement = { jsonrpc: "2.0", id: 1, method: "config.announce", params };
    const targets = list.flatMap(section => (section.kind === "service" ? section.targets : []));
    const targetVms = targets.map(({ vm, zone }) => ({ vm, role: "target", state: "live", zone }));
    const entries = [...members.values()].map(({ info: { vm, zone, address, control } }) => ({
        ...{ vm, role: "entry", state: "live", zone, address, control },
    }));
    const sectionBytes = [...texts.values()].reduce((sum, each) => sum + each.length, 0);
    return {
        "configuration: texts of all sections": [sectionBytes, "bytes"],
        "configuration: row config/head": [JSON.stringify(row).length, "bytes"],
        "configuration: announcement with one section": [JSON.stringify(announcement).length, "bytes"],
        "VM list: entry VMs of the target size only": [JSON.stringify({ vms: entries }).length, "bytes"],
        "VM list: with the VMs of the targets": [JSON.stringify({ vms: [...entries, ...targetVms] }).length, "bytes"],
        "lookup: answer": [JSON.stringify(createLookup(current, members)).length, "bytes"],
    };
};

const createLookup = (current: config.Configuration, members: Setup["members"]): lookups.LookupResponse => {
    const service = [...current.services.values()][0]!;
    const self = [...members.values()][0]!.info;
    const blackboard = blackboards.createBlackboard(self);
    blackboard.ownership.takeWriter("bench")(ownership.computeOwnership(members, current));
    const entries = lookups.listLookupEntries(blackboard, current, service, self.zone);
    return { service: service.service, revision: current.revision, ttlMs: 5000, entries };
};

const computeAllOwners = (current: config.Configuration, members: Setup["members"]): membership.Ownership => {
    const owners = ownership.computeOwnership(members, current);
    for (const service of current.services.values()) {
        service.targets.forEach(target => owners.findTargetOwner(target.id));
    }
    return owners;
};

const measureTimes = ({ stored, current, members }: Setup): NamedFigures => {
    const self = [...members.values()][0]!;
    const scheduler = virtualScheduler.createVirtualScheduler();
    const dispatcherFixture = fixture.createDispatcherFixture({
        self,
        members: [self],
        configuration: current,
        scheduler,
        logger: silentLogger.createSilentLogger(),
        seed: 1,
    });
    dispatcherFixture.setOwnership(computeAllOwners(current, members));
    const measure = (action: () => void): [number, string] => [processorTime.measureCpuMs(action), "ms"];
    let revision = 1;
    const times: NamedFigures = {
        "configuration: assembly": measure(() => configuration.assembleConfiguration(stored.head, stored.texts)),
        "configuration: owners of all targets": measure(() => computeAllOwners(current, members)),
        "configuration: adoption by the dispatcher": measure(() =>
            dispatcherFixture.setConfiguration({ ...current, revision: ids.toRevision(++revision) }),
        ),
        "prober: one check of all targets": measure(() => dispatcherFixture.dispatcher.listTargets()),
        "gossip: loads of the own cells": measure(() => dispatcherFixture.dispatcher.listCellLoads()),
    };
    dispatcherFixture.dispatcher.dispose();
    return times;
};

/**
 * Measures processor times of functions and lengths of messages.
 *
 * @returns series by the number of targets
 */
export const measureConfigurationCost = (): types.Measurement => {
    const series = new Map<string, { unit: string; samples: types.Sample[] }>();
    for (const size of sectionFixture.configurationSizes) {
        const setup = createSetup(size);
        for (const [name, [value, unit]] of Object.entries({ ...measureBytes(setup), ...measureTimes(setup) })) {
            const entry = series.get(name) ?? { unit, samples: [] };
            entry.samples.push({ size: size.targets, value });
            series.set(name, entry);
        }
    }
    const targetSize = sectionFixture.targetSize.targets;
    return {
        series: [...series].map(([name, { unit, samples }]) => ({ name, unit, by: "targets", samples, targetSize })),
        figures: [],
    };
};
