/**
 * All scenarios.
 */
import * as answers from "./scenarios/answers.js";
import * as crashes from "./scenarios/crashes.js";
import * as frozen from "./scenarios/frozen.js";
import * as poison from "./scenarios/poison.js";
import * as resend from "./scenarios/resend.js";
import * as shutdown from "./scenarios/shutdown.js";
import * as silent from "./scenarios/silent.js";
import * as uploads from "./scenarios/uploads.js";
import * as types from "./Types.js";

export const scenarios: readonly types.Scenario[] = [
    resend.resend,
    crashes.crashes,
    answers.answers,
    shutdown.shutdown,
    frozen.frozen,
    uploads.uploads,
    poison.poisonous,
    silent.silent,
];
