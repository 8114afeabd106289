import test from "ava";
import * as addProof from "./addProof.js";
import * as answers from "./scenarios/answers.js";

// Guards against answers of other calls and answers that end early.
addProof.addProof(test, answers.answers);
