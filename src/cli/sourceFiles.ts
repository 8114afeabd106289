/**
 * Reading of the operators' files from a directory.
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as configFiles from "../common/config/configFiles.js";
import * as errorText from "../common/errors/errorText.js";
import * as cli from "./Types.js";

const yamlPattern = /\.ya?ml$/;

const isFile = async (file: string): Promise<boolean> => (await fs.stat(file)).isFile();

const listYamlFiles = async (directory: string): Promise<string[]> => {
    const found: string[] = [];
    for (const entry of await fs.readdir(directory, { withFileTypes: true })) {
        const full = path.join(directory, entry.name);
        if (entry.isDirectory()) {
            const isForeign = entry.name.startsWith(".") || entry.name === "node_modules";
            found.push(...(isForeign ? [] : await listYamlFiles(full)));
        } else if (yamlPattern.test(entry.name) && (await isFile(full))) {
            found.push(full);
        }
    }
    return found;
};

/**
 * Reads all YAML files below a directory, except in hidden directories and `node_modules`.
 *
 * @param directory - the directory
 * @returns the files in the order of their paths
 */
export const readSourceFiles = async (directory: string): Promise<cli.ReadFilesResult> => {
    try {
        const found = (await listYamlFiles(directory)).sort();
        const files = await Promise.all(
            found.map(async (file): Promise<configFiles.SourceFile> => {
                const relative = path.relative(directory, file).split(path.sep).join("/");
                return { path: relative, text: await fs.readFile(file, "utf8") };
            }),
        );
        return { kind: "read", files };
    } catch (error) {
        return { kind: "failed", cause: errorText.toErrorText(error) };
    }
};
