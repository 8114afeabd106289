import test from "ava";
import * as addProof from "./addProof.js";
import * as frozen from "./scenarios/frozen.js";

// Guards against calls to a zone that was taken out of service while an entry VM was frozen.
addProof.addProof(test, frozen.frozen);
