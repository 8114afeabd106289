import test from "ava";
import * as addProof from "./addProof.js";
import * as operators from "./scenarios/operators.js";

// Guards against two changes that both count as accepted, and against a revision that is taken back.
addProof.addProof(test, operators.operators);
