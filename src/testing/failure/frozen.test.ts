import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as frozen from "./scenarios/frozen.js";

// Guards against calls to a zone that was taken out of service while an entry VM was frozen.
addScenarioTests.addScenarioTests(test, frozen.frozen);
