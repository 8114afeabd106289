import test from "ava";
import * as addProof from "./addProof.js";
import * as partition from "./scenarios/partition.js";

// Guards against a partitioned entry VM that continues with an old configuration.
addProof.addProof(test, partition.partition);
