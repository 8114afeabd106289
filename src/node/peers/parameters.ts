/**
 * Validation of JSON-RPC parameters, and of gossip responses.
 */
import * as zod from "zod";
import * as ids from "../../common/ids.js";
import * as types from "./Types.js";

const name = zod.string().refine(ids.isName, "not a name");
const digest = zod.string().refine(ids.isDigest, "not a digest");
const address = zod.string().refine(ids.isAddress, "not an address");
const count = zod.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const shortText = zod.string().min(1).max(200);

/** A configuration of the target size has 36 sections. */
const maxSections = 1000;
const maxSectionCharacters = 1024 * 1024;

/** In characters: enough for 4,000 members of 4 bytes each, well above any deployment. */
const base64 = zod.string().max(22_000);

const memberInfo = zod.object({
    vm: name,
    incarnation: shortText,
    zone: name,
    address,
    control: address,
    state: zod.enum(["starting", "serving", "leaving"]),
    revision: count,
    synced: zod.boolean(),
    epoch: count,
});

export const configHead = zod.object({
    revision: count,
    sections: zod.record(shortText, digest).refine(sections => Object.keys(sections).length <= maxSections),
    author: zod.string().max(200),
    token: zod.string().max(200),
});

const sectionTexts = zod
    .record(digest, zod.string().max(maxSectionCharacters))
    .refine(texts => Object.keys(texts).length <= maxSections);

const targetReport = zod.object({
    state: zod.enum(["cold", "warm", "draining"]),
    busy: zod.number().min(0).optional(),
    boot: shortText.optional(),
});

const schemas: Readonly<Record<types.RpcMethod, zod.ZodType>> = {
    "gossip.pull": zod.object({ from: memberInfo }),
    "gossip.pullChanges": zod.object({
        from: address,
        revision: count,
        set: shortText,
        versions: base64,
        ids: base64.optional(),
        cursor: shortText.optional(),
    }),
    "config.announce": zod.object({ head: configHead, sections: sectionTexts }),
    "config.getSections": zod.object({ digests: zod.array(digest).max(maxSections) }),
    "config.status": zod.object({}),
    "crash.report": zod.object({ fingerprint: digest, count }),
    "target.changed": zod.object({ target: name, report: targetReport }),
    "admin.targets": zod.object({}),
    "admin.explain": zod.object({ call: shortText }),
};

const flags = zod.union([0, 1, 2, 4, 5, 6].map(value => zod.literal(value)));
const memberUpdate = [count, flags, count, base64, count] as const;
const memberRecord = zod.tuple([name, shortText, name, address, address, count, ...memberUpdate]);

/** Response to `gossip.pullChanges`; validated so that a faulty peer cannot break this daemon. */
export const gossipChangesResult = zod.union([
    zod.object({ mismatch: zod.literal(true) }),
    zod.object({
        unitMs: zod.number().positive(),
        ages: base64,
        news: zod.array(zod.tuple([count, ...memberUpdate])).optional(),
        added: zod.array(memberRecord).optional(),
        confirmation: zod.tuple([count, zod.number().min(0)]).optional(),
        head: configHead.optional(),
        crashes: zod.array(zod.tuple([digest, count])).optional(),
        cursor: shortText.optional(),
    }),
]);

export type ParameterResult<M extends types.RpcMethod> =
    | { readonly kind: "valid"; readonly params: types.RpcMethods[M]["params"] }
    | { readonly kind: "invalid"; readonly message: string };

/**
 * Checks the parameters of a request.
 *
 * @param method - name of the called method
 * @param params - the parameters as received; undefined is treated as an empty object
 * @returns the parameters without unknown fields, or the first validation error
 */
export const parseParameters = <M extends types.RpcMethod>(method: M, params: unknown): ParameterResult<M> => {
    const result = schemas[method].safeParse(params ?? {});
    if (result.success) {
        return { kind: "valid", params: result.data as types.RpcMethods[M]["params"] };
    }
    const issue = result.error.issues[0];
    return { kind: "invalid", message: `${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}` };
};
