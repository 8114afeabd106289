/**
 * Prints `docs/settings.md`.
 */
import * as settingsPage from "./settingsPage.js";

process.stdout.write(settingsPage.formatSettingsPage());
