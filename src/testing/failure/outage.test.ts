import test from "ava";
import * as addProof from "./addProof.js";
import * as outage from "./scenarios/outage.js";

// Guards against the use of an older configuration during and after an outage of the platform.
addProof.addProof(test, outage.outage);
