import * as z from "zod";
import { usageLineSchema } from "../../protocol/index.js";
import { EntryCommand } from "../entryCommand/index.js";

/** Maximum number of crashes in one report. */
const MAX_CRASHES = 64;
/** Maximum number of fingerprints per crash. */
const MAX_FINGERPRINTS = 256;

/** Maximum number of calls per crash, of parts per call, and of parts in one report of answers. */
const MAX_CALLS = 64;
const MAX_PARTS = 4_096;
const MAX_ANSWERED_PARTS = 4_096;

const nameSchema = z.string().min(1).max(256);
const runFields = { host: nameSchema, incarnation: nameSchema };
const callFields = { workspace: nameSchema, key: nameSchema, request: nameSchema };
const answerSchema = z.looseObject({
    status: z.int(),
    contentType: z.string(),
    body: z.instanceof(Uint8Array),
});
const crashSchema = z.looseObject({
    upstream: nameSchema,
    incarnation: z.int().min(0),
    fingerprints: z.array(nameSchema).max(MAX_FINGERPRINTS),
});
const partCrashSchema = z.looseObject({
    upstream: nameSchema,
    incarnation: z.int().min(0),
    at: z.number(),
    calls: z.array(z.array(z.string().max(256)).max(MAX_PARTS)).max(MAX_CALLS),
});
const partAnswersSchema = z.looseObject({ part: z.string().max(256), count: z.int().min(1) });
const usageSumSchema = z.looseObject({ window: z.int().min(0), line: usageLineSchema.loose() });

const entryCommandSchema = z.discriminatedUnion("kind", [
    z.looseObject({ kind: z.literal("call.begin"), ...callFields, digest: nameSchema, ...runFields }),
    z.looseObject({
        kind: z.literal("call.finish"),
        ...callFields,
        outcome: z.enum(["answered", "unknown", "not-run"]),
        answer: answerSchema.optional(),
        usage: usageSumSchema.optional(),
    }).refine(command => command.outcome !== "answered" || command.answer !== undefined, "an answer is missing"),
    z.looseObject({ kind: z.literal("call.abandon"), ...runFields }),
    z.looseObject({
        kind: z.literal("usage.batch"),
        ...runFields,
        sequence: z.int().min(1),
        sums: z.array(usageSumSchema),
    }),
    z.looseObject({
        kind: z.literal("spend.reserve"),
        workspace: nameSchema,
        window: z.int().min(0),
        ...runFields,
        sequence: z.int().min(1),
        tokens: z.int().min(0),
    }),
    z.looseObject({ kind: z.literal("crash.note"), crashes: z.array(crashSchema).max(MAX_CRASHES) }),
    z.looseObject({ kind: z.literal("parts.crashed"), crashes: z.array(partCrashSchema).max(MAX_CRASHES) }),
    z.looseObject({ kind: z.literal("parts.answered"), parts: z.array(partAnswersSchema).max(MAX_ANSWERED_PARTS) }),
    z.looseObject({ kind: z.literal("parts.try"), part: nameSchema, host: nameSchema }),
]);

/**
 * Validates a command received from an entry before it is proposed, since everything in the log must be valid to apply.
 * Fields that this version does not know are kept.
 *
 * @throws Error that names the first invalid field.
 */
export function parseEntryCommand(body: unknown): EntryCommand {
    const parsed = entryCommandSchema.safeParse(body);
    if (parsed.success) return parsed.data as unknown as EntryCommand;
    const { path, message } = parsed.error.issues[0];
    throw new Error(`malformed command: ${path.join(".")} ${message}`);
}
