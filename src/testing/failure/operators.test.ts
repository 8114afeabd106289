import test from "ava";
import * as addProof from "./addProof.js";
import * as operators from "./scenarios/operators.js";

// Guards against accepting two concurrent changes, and against reverting a revision.
addProof.addProof(test, operators.operators);
