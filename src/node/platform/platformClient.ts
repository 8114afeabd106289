/**
 * Placeholder until the client of the platform's services exists.
 */
import * as platform from "./Types.js";

/**
 * Creates a client of the platform's services.
 *
 * @param _baseUrl - base URL of the services
 * @returns the client
 */
export const createPlatformClient = (_baseUrl: string): platform.Platform => {
    throw new Error("not implemented");
};
