/**
 * The commands that change or check the configuration.
 */
import * as configFiles from "../common/config/configFiles.js";
import * as config from "../common/config/Types.js";
import * as types from "../common/Types.js";
import * as platform from "../node/platform/Types.js";
import * as headStore from "../node/publish/headStore.js";
import * as planning from "../node/publish/plan.js";
import * as publisher from "../node/publish/publisher.js";
import * as publish from "../node/publish/Types.js";
import * as changeOutput from "./changeOutput.js";
import * as cliLogger from "./cliLogger.js";
import * as exitCodes from "./exitCodes.js";
import * as cli from "./Types.js";

export interface ChangeOptions extends cli.CommonOptions {
    readonly author: string;
    readonly waitMs: number;
}

export interface PublishOptions extends ChangeOptions {
    readonly base?: types.Revision;
}

export interface CheckOptions extends cli.CommonOptions {
    readonly live?: boolean;
}

type ReadConfigResult =
    | { readonly kind: "valid"; readonly files: configFiles.ConfigFiles }
    | { readonly kind: "invalid"; readonly faults: readonly config.Fault[]; readonly skipped: readonly string[] };

const readConfigFiles = async (context: cli.CliContext, directory: string): Promise<ReadConfigResult> => {
    const read = await context.readFiles(directory);
    if (read.kind === "failed") {
        return { kind: "invalid", faults: [{ where: directory, message: read.cause }], skipped: [] };
    }
    const parsed = configFiles.parseConfigFiles(read.files);
    if (parsed.kind === "invalid" || parsed.files.topology !== undefined || parsed.files.services.length > 0) {
        return parsed;
    }
    const message = "has neither a <service>.yaml nor a topology.yaml";
    return { kind: "invalid", faults: [{ where: directory, message }], skipped: parsed.files.skipped };
};

const printSkipped = (context: cli.CliContext, skipped: readonly string[]): void => {
    for (const path of skipped) {
        context.writeError(`skipped ${path}: has no field "service" at the top\n`);
    }
};

/**
 * Publishes a configuration change and prints the result.
 *
 * @param context - environment of the command
 * @param connections - clients for the platform and the entry VMs
 * @param change - the change
 * @param options - command-line options
 * @returns the exit code
 */
export const runChange = async (
    context: cli.CliContext,
    connections: cli.Connections,
    change: publish.Change,
    options: ChangeOptions,
): Promise<number> => {
    const changePublisher = publisher.createPublisher({
        ...connections,
        scheduler: context.scheduler,
        createToken: () => context.createToken(),
        logger: cliLogger.createCliLogger(text => context.writeError(text)),
        author: options.author,
        times: { acceptTimeoutMs: options.waitMs },
    });
    const result = await changePublisher.publish(change);
    return changeOutput.printResult(context, result, options.json === true);
};

/**
 * Publishes the configuration files in a directory.
 *
 * @param context - environment of the command
 * @param connections - clients for the platform and the entry VMs
 * @param directory - the directory
 * @param options - command-line options
 * @returns the exit code
 */
export const runPublish = async (
    context: cli.CliContext,
    connections: cli.Connections,
    directory: string,
    options: PublishOptions,
): Promise<number> => {
    const read = await readConfigFiles(context, directory);
    printSkipped(context, read.kind === "valid" ? read.files.skipped : read.skipped);
    if (read.kind === "invalid") {
        const result = { kind: "refused", cause: "invalid", faults: read.faults } as const;
        return changeOutput.printResult(context, result, options.json === true);
    }
    const { services, topology } = read.files;
    const change = { kind: "publishFiles", services, topology, base: options.base } as const;
    return runChange(context, connections, change, options);
};

interface CheckResult {
    readonly faults: readonly config.Fault[];
    /** Sections that publishing would change; undefined if the files were not compared with those in force. */
    readonly changed: readonly types.SectionName[] | undefined;
    readonly revision: types.Revision | undefined;
    readonly exitCode: number;
}

/** Plans the publication against the current head without committing it. */
const checkLive = async (
    context: cli.CliContext,
    platformClient: platform.Platform,
    files: configFiles.ConfigFiles,
): Promise<CheckResult> => {
    const withoutComparison = { changed: undefined, revision: undefined };
    const read = await headStore.readHeadSnapshot(platformClient.table);
    if (read.kind === "failed") {
        return {
            ...withoutComparison,
            faults: [{ where: "platform", message: read.cause }],
            exitCode: exitCodes.exitFailure,
        };
    }
    const { head } = read.snapshot;
    const planContext = { platform: platformClient, createToken: () => context.createToken(), author: "" };
    const change = { kind: "publishFiles", ...files, base: undefined } as const;
    const planned = await planning.createPlan(planContext, change, head);
    if (planned.kind === "refused") {
        const exitCode = planned.cause === "invalid" ? exitCodes.exitRefused : exitCodes.exitFailure;
        return { ...withoutComparison, faults: planned.faults, exitCode };
    }
    return { faults: [], changed: planned.plan.changed, revision: head.revision, exitCode: exitCodes.exitSuccess };
};

const formatCheck = (files: configFiles.ConfigFiles, outcome: CheckResult): string => {
    const count = files.services.length;
    const topology = files.topology === undefined ? "without the topology" : "with the topology";
    const summary = `No faults in ${count} service ${count === 1 ? "file" : "files"}, ${topology}.`;
    if (outcome.changed === undefined) {
        return files.topology === undefined
            ? `${summary} Zones were not checked; use --live to check them against the configuration in force.`
            : summary;
    }
    const changed = outcome.changed.length === 0 ? "nothing" : outcome.changed.join(", ");
    return `${summary} Against revision ${outcome.revision}, publishing would change ${changed}.`;
};

/**
 * Checks the configuration files in a directory without publishing them.
 *
 * @param context - environment of the command
 * @param createPlatform - connects to the platform; called only to compare with the configuration in force
 * @param directory - the directory
 * @param options - command-line options
 * @returns the exit code
 */
export const runCheck = async (
    context: cli.CliContext,
    createPlatform: () => platform.Platform,
    directory: string,
    options: CheckOptions,
): Promise<number> => {
    const read = await readConfigFiles(context, directory);
    const skipped = read.kind === "valid" ? read.files.skipped : read.skipped;
    const withoutComparison = { changed: undefined, revision: undefined };
    let outcome: CheckResult = { ...withoutComparison, faults: [], exitCode: exitCodes.exitSuccess };
    if (read.kind === "invalid") {
        outcome = { ...withoutComparison, faults: read.faults, exitCode: exitCodes.exitRefused };
    } else if (options.live === true) {
        outcome = await checkLive(context, createPlatform(), read.files);
    }
    if (options.json === true) {
        context.writeOut(`${JSON.stringify({ ...outcome, skipped })}\n`);
        return outcome.exitCode;
    }
    printSkipped(context, skipped);
    if (outcome.faults.length > 0) {
        context.writeError(`${changeOutput.formatFaults(outcome.faults)}\n`);
    } else if (read.kind === "valid") {
        context.writeOut(`${formatCheck(read.files, outcome)}\n`);
    }
    return outcome.exitCode;
};
