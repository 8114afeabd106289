import test from "ava";
import * as addProof from "./addProof.js";
import * as crashes from "./scenarios/crashes.js";

// Guards against a second run, or a wrong "not run", after a target or an entry VM crashed during a call.
addProof.addProof(test, crashes.crashes);
