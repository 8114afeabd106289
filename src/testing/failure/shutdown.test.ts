import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as shutdown from "./scenarios/shutdown.js";

// Guards against calls that a leaving entry VM interrupts, and new calls to leaving entry VMs and targets.
addScenarioTests.addScenarioTests(test, shutdown.shutdown);
