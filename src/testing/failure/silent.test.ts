import test from "ava";
import * as addProof from "./addProof.js";
import * as silent from "./scenarios/silent.js";

// Guards against calls that are lost on connections that went silent.
addProof.addProof(test, silent.silent);
