/**
 * Changes of the configuration and what became of them.
 */
import * as configFiles from "../../common/config/configFiles.js";
import * as config from "../../common/config/Types.js";
import * as types from "../../common/Types.js";

/** What an operator asks for. */
export type Change =
    | {
          readonly kind: "publishFiles";
          /** Replace the sections of the same names; other services stay as they are. */
          readonly services: readonly configFiles.ValidServiceFile[];
          readonly topology: configFiles.ValidTopologyFile | undefined;
          /** Revision that the files were written against; the head at the start if undefined. */
          readonly base: types.Revision | undefined;
      }
    | { readonly kind: "removeService"; readonly service: types.ServiceName }
    | { readonly kind: "setZoneOut"; readonly zone: types.ZoneName; readonly out: boolean }
    | { readonly kind: "setVmOut"; readonly vm: types.VmId; readonly out: boolean };

/** Which entry VMs of the platform's list have a revision. */
export interface Adoption {
    readonly adopted: readonly types.VmId[];
    readonly missing: readonly types.VmId[];
}

export type PublishResult =
    /** In force: a majority of the listed entry VMs has it. `changed` is empty if there was nothing to change. */
    | ({
          readonly kind: "accepted";
          readonly revision: types.Revision;
          readonly changed: readonly types.SectionName[];
      } & Adoption)
    /** Nothing was committed: the input is wrong, or a service of the platform did not take part. */
    | {
          readonly kind: "refused";
          readonly cause: "invalid" | "unavailable";
          readonly faults: readonly config.Fault[];
      }
    /** Nothing was committed: others changed the same sections since the base. */
    | {
          readonly kind: "conflict";
          readonly revision: types.Revision;
          readonly author: string;
          /** All sections that others changed since the base. */
          readonly changedByOthers: readonly types.SectionName[];
          /** Those of them that this change writes too. */
          readonly overlapping: readonly types.SectionName[];
      }
    /** Committed, and entry VMs will adopt it, but a majority has not yet reported it. */
    | ({
          readonly kind: "notAccepted";
          readonly revision: types.Revision;
          readonly changed: readonly types.SectionName[];
      } & Adoption)
    /** The commit may have taken effect, and its row could not be read back. Repeating the command is safe. */
    | { readonly kind: "unknown"; readonly revision: types.Revision; readonly cause: string };

export interface Publisher {
    /** Makes a change and waits until it is in force or the time is up. */
    publish(change: Change): Promise<PublishResult>;
}

/** Durations in milliseconds. */
export interface PublishTimes {
    /** For resolving a commit whose answer was lost. */
    readonly commitTimeoutMs: number;
    /** For the entry VMs to adopt the revision. */
    readonly acceptTimeoutMs: number;
    /** For one call of an entry VM. */
    readonly rpcTimeoutMs: number;
    /** Between two rounds of reading or asking. */
    readonly pollMs: number;
}
