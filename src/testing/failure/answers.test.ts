import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as answers from "./scenarios/answers.js";

// Guards against responses to other calls and truncated responses.
addScenarioTests.addScenarioTests(test, answers.answers);
