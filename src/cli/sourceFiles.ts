/**
 * Reads operators' configuration files from a directory.
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as configFiles from "../common/config/configFiles.js";
import * as errorText from "../common/errors/errorText.js";
import * as cli from "./Types.js";

const yamlPattern = /\.ya?ml$/;

const isFile = async (file: string): Promise<boolean> => (await fs.stat(file)).isFile();

const listYamlFiles = async (directory: string): Promise<string[]> => {
    const filePaths: string[] = [];
    for (const entry of await fs.readdir(directory, { withFileTypes: true })) {
        const fullPath = path.join(directory, entry.name);
        if (entry.isDirectory()) {
            const isIgnored = entry.name.startsWith(".") || entry.name === "node_modules";
            filePaths.push(...(isIgnored ? [] : await listYamlFiles(fullPath)));
        } else if (yamlPattern.test(entry.name) && (await isFile(fullPath))) {
            filePaths.push(fullPath);
        }
    }
    return filePaths;
};

/**
 * Reads all YAML files below a directory, skipping hidden directories and `node_modules`.
 *
 * @param directory - the directory
 * @returns the files sorted by path, or the cause of the failure
 */
export const readSourceFiles = async (directory: string): Promise<cli.ReadFilesResult> => {
    try {
        const filePaths = (await listYamlFiles(directory)).sort();
        const files = await Promise.all(
            filePaths.map(async (file): Promise<configFiles.SourceFile> => {
                const relative = path.relative(directory, file).split(path.sep).join("/");
                return { path: relative, text: await fs.readFile(file, "utf8") };
            }),
        );
        return { kind: "read", files };
    } catch (error) {
        return { kind: "failed", cause: errorText.toErrorText(error) };
    }
};
