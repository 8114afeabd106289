import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as outage from "./scenarios/outage.js";

// Guards against the use of an older configuration during and after an outage of the platform.
addScenarioTests.addScenarioTests(test, outage.outage);
