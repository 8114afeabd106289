/**
 * All scenarios.
 */
import * as answers from "./scenarios/answers.js";
import * as crashes from "./scenarios/crashes.js";
import * as foreign from "./scenarios/foreign.js";
import * as frozen from "./scenarios/frozen.js";
import * as operators from "./scenarios/operators.js";
import * as outage from "./scenarios/outage.js";
import * as partition from "./scenarios/partition.js";
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
    foreign.foreign,
    frozen.frozen,
    outage.outage,
    operators.operators,
    partition.partition,
    uploads.uploads,
    poison.poisonous,
    silent.silent,
];
