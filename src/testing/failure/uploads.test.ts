import test from "ava";
import * as addProof from "./addProof.js";
import * as uploads from "./scenarios/uploads.js";

// Guards against a second run of an upload that was cut off, and against a truncated body accepted as complete.
addProof.addProof(test, uploads.uploads);
