/**
 * The command `entry`: runs the entry daemon.
 */
import * as commander from "commander";
import * as definitions from "../node/settings/definitions.js";
import * as entrySettings from "../node/settings/entrySettings.js";
import * as changeOutput from "./changeOutput.js";
import * as exitCodes from "./exitCodes.js";
import * as cli from "./Types.js";

const createFlagOption = (field: definitions.SettingField): commander.Option => {
    const { description, defaultText, defaultNote, unit } = definitions.definitions[field];
    const placeholder = unit === "" ? "value" : unit;
    return new commander.Option(
        `${definitions.toFlag(field)} <${placeholder}>`,
        `${description} (default: ${defaultText ?? defaultNote}; ${definitions.toVariable(field)})`,
    );
};

/**
 * Adds the flags for the daemon's settings to a command. `parseEntrySettings` validates their values.
 *
 * @param command - the command
 * @returns the command
 */
export const addSettingOptions = (command: commander.Command): commander.Command => {
    definitions.listSettingFields().forEach(field => command.addOption(createFlagOption(field)));
    return command;
};

/**
 * Runs the daemon until it has shut down.
 *
 * @param context - environment of the command
 * @param flags - unparsed flag values
 * @returns the exit code
 */
export const runEntryCommand = async (context: cli.CliContext, flags: entrySettings.FlagValues): Promise<number> => {
    const parsed = entrySettings.parseEntrySettings(flags, context.env);
    if (parsed.kind === "invalid") {
        context.writeError(`${changeOutput.formatFaults(parsed.faults)}\n`);
        return exitCodes.exitFailure;
    }
    await context.runEntry(parsed.settings);
    return exitCodes.exitSuccess;
};
