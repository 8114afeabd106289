import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as crashes from "./scenarios/crashes.js";

// Guards against a second run, or a wrong "not run", after a target or an entry VM crashed during a call.
addScenarioTests.addScenarioTests(test, crashes.crashes);
