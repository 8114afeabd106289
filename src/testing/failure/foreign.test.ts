import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as foreign from "./scenarios/foreign.js";

// Guards against a second run of a foreign key when responses of the table service are lost.
addScenarioTests.addScenarioTests(test, foreign.foreign);
