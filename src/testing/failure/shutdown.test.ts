import test from "ava";
import * as addProof from "./addProof.js";
import * as shutdown from "./scenarios/shutdown.js";

// Guards against calls that a leaving entry VM cuts off, and new work for servers that leave.
addProof.addProof(test, shutdown.shutdown);
