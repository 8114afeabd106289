/**
 * Public API of tarragonpath.
 *
 * The daemon and the command line are thin layers over these modules. Everything not exported here is internal and may
 * change in any release.
 */

/** The entry daemon and its settings. */
export * as daemon from "./node/entry/daemon.js";
export * as runEntry from "./node/entry/runEntry.js";
export * as settings from "./node/settings/entrySettings.js";
export * as settingsTypes from "./node/settings/Types.js";
export * as logSink from "./node/logging/logSink.js";

/** Operators' files: parsing, validation and publishing. */
export * as configFiles from "./common/config/configFiles.js";
export * as configTypes from "./common/config/Types.js";
export * as publisher from "./node/publish/publisher.js";
export * as publishTypes from "./node/publish/Types.js";

/** Interfaces of the platform's services, for adapters to implement, and an HTTP client of the documented protocol. */
export * as platformTypes from "./node/platform/Types.js";
export * as platformClient from "./node/platform/platformClient.js";

/** Messages between entry VMs and messages of the operators' API. */
export * as rpcClient from "./node/peers/rpcClient.js";
export * as peerTypes from "./node/peers/Types.js";

/** Error kinds and their responses. */
export * as errorTable from "./common/errors/errorTable.js";
export * as errorTypes from "./common/errors/Types.js";

/** Ids and shared types. */
export * as ids from "./common/ids.js";
export * as types from "./common/Types.js";
