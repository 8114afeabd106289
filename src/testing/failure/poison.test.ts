import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as poison from "./scenarios/poison.js";

// Guards against one request that crashes one target after another.
addScenarioTests.addScenarioTests(test, poison.poisonous);
