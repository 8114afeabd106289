import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as partition from "./scenarios/partition.js";

// Guards against a partitioned entry VM that continues with an old configuration.
addScenarioTests.addScenarioTests(test, partition.partition);
