import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as silent from "./scenarios/silent.js";

// Guards against calls that are lost on connections that went silent.
addScenarioTests.addScenarioTests(test, silent.silent);
