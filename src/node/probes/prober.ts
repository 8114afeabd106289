/**
 * Placeholder until the prober is there.
 */
import * as shared from "../../common/Types.js";

export const createProber = (_options: object): shared.Disposable => ({ dispose: () => undefined });
