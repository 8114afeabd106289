import test from "ava";
import * as addProof from "./addProof.js";
import * as poison from "./scenarios/poison.js";

// Guards against one request that crashes one target after another.
addProof.addProof(test, poison.poisonous);
