/**
 * The response that a connection to a target is receiving.
 */
import * as joinedBytes from "../../common/joinedBytes.js";
import * as responseParser from "./responseParser.js";
import * as streamedBody from "./streamedBody.js";
import * as types from "./Types.js";

/** Responses from this status on are failures, which are repeated or replaced and thus never streamed. */
const firstFailureStatus = 500;

export interface PartialResponse {
    readonly parsed: responseParser.ParsedHead;
    readonly head: types.ResponseHead;
    /** Bytes of the body that were received and not passed on yet. */
    readonly held: joinedBytes.JoinedBytes;
    /** Set once the body is passed on while it is received. */
    streamed: streamedBody.StreamedBody | undefined;
}

/**
 * Returns whether the body may be passed on while it is received.
 *
 * @param response - the response
 * @returns true if it is a whole one that is neither a refusal nor a failure
 */
export const isStreamable = (response: PartialResponse): boolean => {
    const { head, parsed } = response;
    return head.isSigned && !head.isEncoded && !head.isRefusal && parsed.statusCode < firstFailureStatus;
};
