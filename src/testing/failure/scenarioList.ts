/**
 * All scenarios.
 */
import * as answers from "./scenarios/answers.js";
import * as crashes from "./scenarios/crashes.js";
import * as resend from "./scenarios/resend.js";
import * as shutdown from "./scenarios/shutdown.js";
import * as types from "./Types.js";

export const scenarios: readonly types.Scenario[] = [
    resend.resend,
    crashes.crashes,
    answers.answers,
    shutdown.shutdown,
];
