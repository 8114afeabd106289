import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as uploads from "./scenarios/uploads.js";

// Guards against a second run of an upload that was cut off, and against a truncated body accepted as complete.
addScenarioTests.addScenarioTests(test, uploads.uploads);
