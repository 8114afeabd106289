/**
 * Changes of the configuration and their results.
 */
import * as configFiles from "../../common/config/configFiles.js";
import * as config from "../../common/config/Types.js";
import * as types from "../../common/Types.js";

/** A change that an operator requests. */
export type Change =
    | {
          readonly kind: "publishFiles";
          /** These replace the sections of the same names; other services are unchanged. */
          readonly services: readonly configFiles.ValidServiceFile[];
          readonly topology: configFiles.ValidTopologyFile | undefined;
          /** Revision that the files are based on; if undefined, the head at the start of the command. */
          readonly base: types.Revision | undefined;
      }
    | { readonly kind: "removeService"; readonly service: types.ServiceName }
    | { readonly kind: "setZoneOut"; readonly zone: types.ZoneName; readonly out: boolean }
    | { readonly kind: "setVmOut"; readonly vm: types.VmId; readonly out: boolean };

/** Which entry VMs on the platform's list have adopted a revision. */
export interface Adoption {
    readonly adopted: readonly types.VmId[];
    readonly missing: readonly types.VmId[];
}

export type PublishResult =
    /** In force: a majority of the listed entry VMs has adopted it. `changed` is empty if nothing had to be changed. */
    | ({
          readonly kind: "accepted";
          readonly revision: types.Revision;
          readonly changed: readonly types.SectionName[];
      } & Adoption)
    /** Nothing was committed: the input is invalid, or a platform service was unavailable. */
    | {
          readonly kind: "refused";
          readonly cause: "invalid" | "unavailable";
          readonly faults: readonly config.Fault[];
      }
    /** Nothing was committed: others have changed the same sections since the base. */
    | {
          readonly kind: "conflict";
          readonly revision: types.Revision;
          readonly author: string;
          /** All sections that others have changed since the base. */
          readonly changedByOthers: readonly types.SectionName[];
          /** The subset of them that this change writes too. */
          readonly overlapping: readonly types.SectionName[];
      }
    /** Committed and going to be adopted, but not yet reported by a majority of the entry VMs. */
    | ({
          readonly kind: "notAccepted";
          readonly revision: types.Revision;
          readonly changed: readonly types.SectionName[];
      } & Adoption)
    /** The commit may have taken effect, but its row could not be read back. Repeating the command is safe. */
    | { readonly kind: "unknown"; readonly revision: types.Revision; readonly cause: string };

export interface Publisher {
    /** Commits a change and waits until it is in force or the timeout has passed. */
    publish(change: Change): Promise<PublishResult>;
}

/** Durations in milliseconds. */
export interface PublishTimes {
    /** Limit for resolving a commit whose response was lost. */
    readonly commitTimeoutMs: number;
    /** Limit for the entry VMs to adopt the revision. */
    readonly acceptTimeoutMs: number;
    /** Limit for one call to an entry VM. */
    readonly rpcTimeoutMs: number;
    /** Interval between two polls of the table or of the entry VMs. */
    readonly pollMs: number;
}
