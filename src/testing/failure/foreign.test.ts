import test from "ava";
import * as addProof from "./addProof.js";
import * as foreign from "./scenarios/foreign.js";

// Guards against a second run of a foreign key when responses of the table service are lost.
addProof.addProof(test, foreign.foreign);
