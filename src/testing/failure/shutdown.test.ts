import test from "ava";
import * as addProof from "./addProof.js";
import * as shutdown from "./scenarios/shutdown.js";

// Guards against calls that a leaving entry VM interrupts, and new calls to leaving entry VMs and targets.
addProof.addProof(test, shutdown.shutdown);
