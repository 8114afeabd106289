import test from "ava";
import * as addScenarioTests from "./addScenarioTests.js";
import * as resend from "./scenarios/resend.js";

// Guards against a second run of a key that is sent to another entry VM, also when its arbiter is gone.
addScenarioTests.addScenarioTests(test, resend.resend);
