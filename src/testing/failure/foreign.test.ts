import test from "ava";
import * as addProof from "./addProof.js";
import * as foreign from "./scenarios/foreign.js";

// Guards against a second run of a caller's own key when answers of the table service are lost.
addProof.addProof(test, foreign.foreign);
