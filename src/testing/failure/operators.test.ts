import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as operators from "./scenarios/operators.js";

// Guards against accepting two concurrent changes, and against reverting a revision.
addScenarioTests.addScenarioTests(test, operators.operators);
