import test from "ava";
import * as addProof from "./addProof.js";
import * as partition from "./scenarios/partition.js";

// Guards against an entry VM that goes on alone, with an old configuration, when it is cut off.
addProof.addProof(test, partition.partition);
