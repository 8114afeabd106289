import test from "ava";
import * as addProof from "./addProof.js";
import * as uploads from "./scenarios/uploads.js";

// Guards against a second run of an upload that was cut, and against a cut body that passes for whole.
addProof.addProof(test, uploads.uploads);
