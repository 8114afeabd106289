import test from "ava";
import * as addProof from "./addProof.js";
import * as answers from "./scenarios/answers.js";

// Guards against responses to other calls and truncated responses.
addProof.addProof(test, answers.answers);
