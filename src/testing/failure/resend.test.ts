import test from "ava";
import * as addProof from "./addProof.js";
import * as resend from "./scenarios/resend.js";

// Guards against a second run of a key that is sent to another entry VM, also when its arbiter is gone.
addProof.addProof(test, resend.resend);
