/**
 * Defines the command-line interface and runs its commands.
 */
import * as commander from "commander";
import * as errorText from "../common/errors/errorText.js";
import * as errors from "../common/errors/errors.js";
import * as ids from "../common/ids.js";
import * as types from "../common/Types.js";
import * as platform from "../node/platform/Types.js";
import * as entrySettings from "../node/settings/entrySettings.js";
import * as values from "../node/settings/values.js";
import * as changeCommands from "./changeCommands.js";
import * as entryCommand from "./entryCommand.js";
import * as exitCodes from "./exitCodes.js";
import * as explainCommand from "./explainCommand.js";
import * as explainLogs from "./explainLogs.js";
import * as statusCommand from "./statusCommand.js";
import * as targetsCommand from "./targetsCommand.js";
import * as cli from "./Types.js";

const defaultPlatformUrl = "http://127.0.0.1:7000";
const platformEnvVariable = "TARRAGONPATH_PLATFORM";
const defaultWaitMs = 15_000;
const maxWaitMs = 600_000;

/**
 * Converts a value kind to a commander option parser. The error states the option, the value and the allowed values.
 */
const createOptionParser =
    <T>(kind: values.ValueKind<T>) =>
    (text: string): T => {
        const value = kind.parse(text);
        if (value === undefined) {
            throw new commander.InvalidArgumentError(`Allowed is ${kind.allowed}.`);
        }
        return value;
    };

const parseServiceName = createOptionParser(values.createNameKind(ids.toServiceName));
const parseZoneName = createOptionParser(values.createNameKind(ids.toZoneName));
const parseVmId = createOptionParser(values.createNameKind(ids.toVmId));
const parseUrl = createOptionParser(values.httpUrlKind);
const parseWaitMs = createOptionParser(values.createIntegerKind(0, maxWaitMs));
const parseRevision = createOptionParser(values.createIntegerKind(1, Number.MAX_SAFE_INTEGER));

const addCommonOptions = (command: commander.Command): commander.Command =>
    command
        .addOption(
            new commander.Option(
                "--platform <url>",
                `base URL of the platform's services (default: ${defaultPlatformUrl}; ${platformEnvVariable})`,
            ).argParser(parseUrl),
        )
        .option("--json", "print JSON for scripts");

const addChangeOptions = (command: commander.Command, context: cli.CliContext): commander.Command =>
    addCommonOptions(command)
        .addOption(
            new commander.Option("--author <name>", "name that is kept with the revision").default(
                context.env["TARRAGONPATH_AUTHOR"] || context.userName,
            ),
        )
        .addOption(
            new commander.Option("--wait-ms <ms>", "longest wait until the entry VMs have the revision")
                .argParser(parseWaitMs)
                .default(defaultWaitMs),
        );

/** The flag overrides the environment variable. An empty variable counts as unset, as for the daemon. */
const createPlatform = (context: cli.CliContext, options: cli.CommonOptions): platform.Platform => {
    const variable = context.env[platformEnvVariable] || defaultPlatformUrl;
    const baseUrl = options.platform ?? values.httpUrlKind.parse(variable);
    if (baseUrl === undefined) {
        const message = `${platformEnvVariable}: "${variable}" is not allowed; allowed is ${values.httpUrlKind.allowed}`;
        const error: Error = new errors.InputError(message);
        throw error;
    }
    return context.createPlatform(baseUrl);
};

/** Runs a command and records its exit code. */
export type RunCommand = (action: () => Promise<number>) => Promise<void>;
/** Adds commands that are not part of every executable. */
export type AddCommands = (program: commander.Command, context: cli.CliContext, run: RunCommand) => void;
type ConnectedAction = (connections: cli.Connections) => Promise<number>;

const runConnected = async (
    context: cli.CliContext,
    options: cli.CommonOptions,
    action: ConnectedAction,
): Promise<number> => {
    const platformClient = createPlatform(context, options);
    const rpc = context.createRpc();
    try {
        return await action({ platform: platformClient, rpc });
    } finally {
        await rpc.close();
    }
};

const addEntryCommand = (program: commander.Command, context: cli.CliContext, run: RunCommand): void => {
    const command = program.command("entry").description("run the entry daemon until SIGTERM");
    entryCommand
        .addSettingOptions(command)
        .action((flags: entrySettings.FlagValues) => run(() => entryCommand.runEntryCommand(context, flags)));
};

const addFileCommands = (program: commander.Command, context: cli.CliContext, run: RunCommand): void => {
    addChangeOptions(program.command("publish <dir>"), context)
        .description("publish <service>.yaml and topology.yaml below a directory")
        .option("--base <revision>", "revision that the files were written against", parseRevision)
        .action((directory: string, options: changeCommands.PublishOptions) =>
            run(() =>
                runConnected(context, options, connections =>
                    changeCommands.runPublish(context, connections, directory, options),
                ),
            ),
        );
    addCommonOptions(program.command("check <dir>"))
        .description("check the files below a directory without publishing them")
        .option("--live", "also check against the configuration in force and print what would change")
        .action((directory: string, options: changeCommands.CheckOptions) =>
            run(() => changeCommands.runCheck(context, () => createPlatform(context, options), directory, options)),
        );
    addChangeOptions(program.command("remove"), context)
        .description("remove a service from the configuration")
        .argument("<service>", "name of the service", parseServiceName)
        .action((service: types.ServiceName, options: changeCommands.ChangeOptions) =>
            run(() =>
                runConnected(context, options, connections =>
                    changeCommands.runChange(context, connections, { kind: "removeService", service }, options),
                ),
            ),
        );
};

const inOutCommands = [
    { name: "out", out: true, description: "take out of service: no new work goes there" },
    { name: "in", out: false, description: "return to service" },
] as const;

const addInOutCommands = (program: commander.Command, context: cli.CliContext, run: RunCommand): void => {
    const zone = program.command("zone").description("take a zone out of service or return it");
    const vm = program.command("vm").description("take a VM out of service or return it");
    for (const { name, out, description } of inOutCommands) {
        addChangeOptions(zone.command(name), context)
            .description(description)
            .argument("<zone>", "name of the zone", parseZoneName)
            .action((zoneName: types.ZoneName, options: changeCommands.ChangeOptions) =>
                run(() =>
                    runConnected(context, options, connections => {
                        const change = { kind: "setZoneOut", zone: zoneName, out } as const;
                        return changeCommands.runChange(context, connections, change, options);
                    }),
                ),
            );
        addChangeOptions(vm.command(name), context)
            .description(description)
            .argument("<vm>", "name of the VM", parseVmId)
            .action((vmId: types.VmId, options: changeCommands.ChangeOptions) =>
                run(() =>
                    runConnected(context, options, connections => {
                        const change = { kind: "setVmOut", vm: vmId, out } as const;
                        return changeCommands.runChange(context, connections, change, options);
                    }),
                ),
            );
    }
};

const addReadCommands = (program: commander.Command, context: cli.CliContext, run: RunCommand): void => {
    addCommonOptions(program.command("status"))
        .description("print the revision in force at each entry VM")
        .action((options: cli.CommonOptions) =>
            run(() =>
                runConnected(context, options, connections => statusCommand.runStatus(context, connections, options)),
            ),
        );
    addCommonOptions(program.command("targets"))
        .description("print state, limit, calls in flight and owner of each target")
        .option("--service <name>", "only targets of this service", parseServiceName)
        .action((options: targetsCommand.TargetsOptions) =>
            run(() =>
                runConnected(context, options, connections => targetsCommand.runTargets(context, connections, options)),
            ),
        );
    addCommonOptions(program.command("explain <call> [logs...]"))
        .description("print what happened to a call, by its id; from log files if any are named, - for standard input")
        .action((call: string, logs: readonly string[], options: cli.CommonOptions) =>
            run(() =>
                logs.length > 0
                    ? explainLogs.runExplainLogs(context, call, logs, options)
                    : runConnected(context, options, connections =>
                          explainCommand.runExplain(context, connections, call, options),
                      ),
            ),
        );
};

const createProgram = (context: cli.CliContext, run: RunCommand, addCommands: AddCommands): commander.Command => {
    const program = new commander.Command("tarragonpath")
        .description("load balancer for servers whose load changes within milliseconds")
        .version(context.version)
        .exitOverride()
        .configureOutput({
            writeOut: text => context.writeOut(text),
            writeErr: text => context.writeError(text),
        });
    addEntryCommand(program, context, run);
    addFileCommands(program, context, run);
    addInOutCommands(program, context, run);
    addReadCommands(program, context, run);
    addCommands(program, context, run);
    return program;
};

/**
 * Parses the arguments and runs the command.
 *
 * @param args - command-line arguments, without the program name
 * @param context - environment of the command
 * @param addCommands - adds further commands
 * @returns the exit code, as documented in `docs/operators.md`
 */
export const runCommandLine = async (
    args: readonly string[],
    context: cli.CliContext,
    addCommands: AddCommands = () => undefined,
): Promise<number> => {
    let exitCode = exitCodes.exitSuccess;
    const run: RunCommand = async action => {
        exitCode = await action();
    };
    try {
        await createProgram(context, run, addCommands).parseAsync(args, { from: "user" });
        return exitCode;
    } catch (error) {
        if (error instanceof commander.CommanderError) {
            return error.exitCode === 0 ? exitCodes.exitSuccess : exitCodes.exitFailure;
        }
        context.writeError(`${errorText.toErrorText(error)}\n`);
        return exitCodes.exitFailure;
    }
};
