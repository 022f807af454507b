/** Recorded traces: JSON Lines, a header first, then one request a line. docs/TRACES.md describes the format. */
import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { controlActionSchema } from "../../emulator/index.js";

/** The version of the format that is written and read. */
export const TRACE_VERSION = 1;

const messageSchema = z.strictObject({ role: z.string(), content: z.string() });
const shareSchema = z.number().min(0).max(1);

/** A service class as the trace states it. */
export const traceClassSchema = z.strictObject({
    name: z.string().min(1),
    /** 0 is the highest. */
    tier: z.int().min(0),
    /** Target to the first token, or to a service's answer, in milliseconds. */
    first_token_ms: z.number().positive(),
    /** Target for the mean time between tokens, in milliseconds. */
    token_ms: z.number().positive(),
    /** The longest wait before a refusal, in milliseconds. */
    max_wait_ms: z.number().positive(),
    /** The share of capacity that the class may count on. */
    guaranteed_share: shareSchema,
});
export type TraceClass = z.infer<typeof traceClassSchema>;

/** A workspace as the trace states it. */
export const traceWorkspaceSchema = z.strictObject({
    name: z.string().min(1),
    /** Its weight beside the others of a tier. */
    weight: z.number().positive(),
});
export type TraceWorkspace = z.infer<typeof traceWorkspaceSchema>;

/** What must come out of a replay. */
export const traceBoundsSchema = z.strictObject({
    /** The least share of each class's requests that must be answered whole within target. */
    attainment: z.record(z.string(), shareSchema),
    /** The least share of any one workspace's requests. */
    worst_workspace: shareSchema,
    lost: z.int().min(0),
    doubled: z.int().min(0),
});
export type TraceBounds = z.infer<typeof traceBoundsSchema>;

/** The first line. */
export const traceHeaderSchema = z.strictObject({
    version: z.literal(TRACE_VERSION),
    name: z.string().min(1),
    zones: z.array(z.string()).min(1),
    models: z.array(z.string()),
    services: z.array(z.string()),
    classes: z.array(traceClassSchema).min(1),
    workspaces: z.array(traceWorkspaceSchema).min(1),
    bounds: traceBoundsSchema,
    /** Settings of the emulator for which the bounds are stated, by the names of its flags. */
    emulator: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
export type TraceHeader = z.infer<typeof traceHeaderSchema>;

const commonFields = {
    /** When it is sent, in milliseconds from the start of the replay. */
    at_ms: z.number().min(0),
    workspace: z.string().min(1),
    class: z.string().min(1),
};

/** A chat request. */
export const traceChatSchema = z.strictObject({
    ...commonFields,
    kind: z.literal("chat"),
    model: z.string().min(1),
    messages: z.array(messageSchema).min(1),
    max_tokens: z.int().min(1),
    /** How many tokens the whole answer has. */
    tokens: z.int().min(1),
    stream: z.boolean().default(true),
    /** The caller goes away after this many milliseconds. */
    leave_after_ms: z.number().positive().optional(),
});
export type TraceChat = z.infer<typeof traceChatSchema>;

/** A call of a plain service. */
export const traceServiceSchema = z.strictObject({
    ...commonFields,
    kind: z.literal("service"),
    service: z.string().min(1),
    /** Below the service's root. */
    path: z.string().startsWith("/"),
    body: z.record(z.string(), z.unknown()),
    idempotency_key: z.string().min(1).max(200),
});
export type TraceService = z.infer<typeof traceServiceSchema>;

/** One request of a trace. */
export const traceRequestSchema = z.discriminatedUnion("kind", [traceChatSchema, traceServiceSchema]);
export type TraceRequest = z.infer<typeof traceRequestSchema>;

/** Something that goes wrong at a stand-in while the requests run. */
export const traceFaultSchema = z.strictObject({
    at_ms: commonFields.at_ms,
    kind: z.literal("fault"),
    action: controlActionSchema,
});
export type TraceFault = z.infer<typeof traceFaultSchema>;

const traceLineSchema = z.discriminatedUnion("kind", [traceChatSchema, traceServiceSchema, traceFaultSchema]);
type TraceLine = z.infer<typeof traceLineSchema>;

/** A whole trace. */
export interface Trace {
    readonly header: TraceHeader;
    readonly requests: readonly TraceRequest[];
    readonly faults: readonly TraceFault[];
}

/** A line of a trace that can't be read. */
export class TraceError extends Error {
    /**
     * @param line - The line's number; the first has 1.
     * @param field - The field's name; empty when the line as a whole is at fault.
     * @param detail - What is wrong.
     */
    constructor(readonly line: number, readonly field: string, detail: string) {
        super(`line ${line}${field === "" ? "" : `, ${field}`}: ${detail}`);
    }
}

/**
 * Reads a trace.
 *
 * @param text - The file's content.
 * @returns The trace, or the first line and field that are wrong.
 * @example
 * parseTrace('{"version":1,...}\n{"at_ms":0,"kind":"chat",...}\n');
 */
export function parseTrace(text: string): Either<TraceError, Trace> {
    const lines = text.split("\n");
    if (lines[lines.length - 1] === "") lines.pop();
    return parseLine(lines[0] ?? "", 1, traceHeaderSchema).chain(header =>
        Either.sequence(lines.slice(1).map((line, index) => parseFurtherLine(line, index + 2, header))).map(parsed => ({
            header,
            requests: parsed.filter(line => line.kind !== "fault"),
            faults: parsed.filter(line => line.kind === "fault"),
        }))
    );
}

/**
 * Writes a trace.
 *
 * @example
 * formatTrace({ header, requests, faults: [] });
 */
export function formatTrace({ header, requests, faults }: Trace): string {
    const further = [...requests, ...faults].sort((a, b) => a.at_ms - b.at_ms);
    return [header, ...further].map(line => `${JSON.stringify(line)}\n`).join("");
}

function parseFurtherLine(text: string, line: number, header: TraceHeader): Either<TraceError, TraceLine> {
    return parseLine(text, line, traceLineSchema).chain<TraceError, TraceLine>(parsed =>
        parsed.kind === "fault" ? Right(parsed) : checkNames(parsed, line, header)
    );
}

/** What a request names must stand in the header. */
function checkNames(request: TraceRequest, line: number, header: TraceHeader): Either<TraceError, TraceRequest> {
    const unknown = (field: string, name: string): Either<TraceError, TraceRequest> =>
        Left(new TraceError(line, field, `"${name}" is not in the header`));
    if (!header.classes.some(({ name }) => name === request.class)) return unknown("class", request.class);
    if (!header.workspaces.some(({ name }) => name === request.workspace)) {
        return unknown("workspace", request.workspace);
    }
    if (request.kind === "chat" && !header.models.includes(request.model)) return unknown("model", request.model);
    if (request.kind === "service" && !header.services.includes(request.service)) {
        return unknown("service", request.service);
    }
    return Right(request);
}

function parseLine<Schema extends z.ZodType>(
    text: string,
    line: number,
    schema: Schema,
): Either<TraceError, z.infer<Schema>> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (err) {
        return Left(new TraceError(line, "", (err as Error).message));
    }
    const parsed = schema.safeParse(value);
    if (parsed.success) return Right(parsed.data);
    const [issue] = parsed.error.issues;
    return Left(new TraceError(line, issue.path.join("."), issue.message));
}
