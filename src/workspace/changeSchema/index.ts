import * as z from "zod";
import { ConfigChange } from "../change/index.js";
import { templateSpecSchema } from "../template/index.js";

const name = z.string().regex(/^[a-zA-Z0-9][\w.-]{0,63}$/, "needs letters, digits, dots, dashes; 64 at the most");
const base = z.int().min(0);
const tokenLimit = z.int().min(0).optional();
const changeBase = { changeId: name, operator: z.string().min(1).max(64) };

/** Schema of a configuration change as sent by an operator's tool. Unknown fields are kept. */
export const configChangeSchema = z.discriminatedUnion("kind", [
    z.looseObject({ kind: z.literal("template.put"), ...changeBase, name, spec: templateSpecSchema, base }),
    z.looseObject({
        kind: z.literal("workspace.create"),
        ...changeBase,
        id: name,
        template: name,
        parameters: z.array(z.looseObject({ name: z.string(), value: z.union([z.number(), z.string()]) })),
        tokenLimit,
    }),
    z.looseObject({ kind: z.literal("workspace.limit"), ...changeBase, id: name, tokenLimit, base }),
    z.looseObject({ kind: z.literal("workspace.remove"), ...changeBase, id: name, base }),
    z.looseObject({
        kind: z.literal("key.grant"),
        ...changeBase,
        workspace: name,
        keyId: name,
        hash: z.string().regex(/^[0-9a-f]{64}$/, "needs a SHA-256 in hex"),
    }),
    z.looseObject({ kind: z.literal("key.withdraw"), ...changeBase, keyId: name }),
]).transform(change => change as unknown as ConfigChange);
