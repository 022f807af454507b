/** Traces as JSON Lines: a header, then one request or fault per line. docs/TRACES.md describes the format. */
import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { controlActionSchema } from "../../emulator/index.js";

/** Version of the trace format. */
export const TRACE_VERSION = 1;

const messageSchema = z.strictObject({ role: z.string(), content: z.string() });
const shareSchema = z.number().min(0).max(1);

/** A service class in the trace's header. */
export const traceClassSchema = z.strictObject({
    name: z.string().min(1),
    /** 0 is the highest. */
    tier: z.int().min(0),
    /** Target time to the first token, or to a service's answer, in milliseconds. */
    first_token_ms: z.number().positive(),
    /** Target for the mean time between tokens, in milliseconds. */
    token_ms: z.number().positive(),
    /** Maximum wait before the request is refused, in milliseconds. */
    max_wait_ms: z.number().positive(),
    /** Share of capacity guaranteed to the class, from 0 to 1. */
    guaranteed_share: shareSchema,
});
export type TraceClass = z.infer<typeof traceClassSchema>;

/** A workspace in the trace's header. */
export const traceWorkspaceSchema = z.strictObject({
    name: z.string().min(1),
    /** Weight relative to the other workspaces within a tier. */
    weight: z.number().positive(),
});
export type TraceWorkspace = z.infer<typeof traceWorkspaceSchema>;

/** Bounds that the results of a replay must meet. */
export const traceBoundsSchema = z.strictObject({
    /** Minimum share of requests answered completely within target, by class. */
    attainment: z.record(z.string(), shareSchema),
    /** Minimum of the same share for the workspace with the lowest one. */
    worst_workspace: shareSchema,
    /** Maximum number of lost requests. */
    lost: z.int().min(0),
    /** Maximum number of doubled requests. */
    doubled: z.int().min(0),
});
export type TraceBounds = z.infer<typeof traceBoundsSchema>;

/** First line of a trace. */
export const traceHeaderSchema = z.strictObject({
    version: z.literal(TRACE_VERSION),
    name: z.string().min(1),
    zones: z.array(z.string()).min(1),
    models: z.array(z.string()),
    services: z.array(z.string()),
    classes: z.array(traceClassSchema).min(1),
    workspaces: z.array(traceWorkspaceSchema).min(1),
    bounds: traceBoundsSchema,
    /** Emulator settings for which the bounds apply, by name in camelCase of the emulator's flag. */
    emulator: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
export type TraceHeader = z.infer<typeof traceHeaderSchema>;

const commonFields = {
    /** Time at which the line takes effect, in milliseconds from the start of the replay. */
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
    /** Number of tokens of the complete answer. */
    tokens: z.int().min(1),
    stream: z.boolean().default(true),
    /** Time after which the caller disconnects, in milliseconds. */
    leave_after_ms: z.number().positive().optional(),
});
export type TraceChat = z.infer<typeof traceChatSchema>;

/** A call to a plain service, which is not a language-model engine. */
export const traceServiceSchema = z.strictObject({
    ...commonFields,
    kind: z.literal("service"),
    service: z.string().min(1),
    /** Path relative to the service's root. */
    path: z.string().startsWith("/"),
    body: z.record(z.string(), z.unknown()),
    idempotency_key: z.string().min(1).max(200),
});
export type TraceService = z.infer<typeof traceServiceSchema>;

/** One request of a trace. */
export const traceRequestSchema = z.discriminatedUnion("kind", [traceChatSchema, traceServiceSchema]);
export type TraceRequest = z.infer<typeof traceRequestSchema>;

/** A fault injected into the emulated upstreams during the replay. */
export const traceFaultSchema = z.strictObject({
    at_ms: commonFields.at_ms,
    kind: z.literal("fault"),
    action: controlActionSchema,
});
export type TraceFault = z.infer<typeof traceFaultSchema>;

const traceLineSchema = z.discriminatedUnion("kind", [traceChatSchema, traceServiceSchema, traceFaultSchema]);
type TraceLine = z.infer<typeof traceLineSchema>;

/** A parsed trace. */
export interface Trace {
    readonly header: TraceHeader;
    readonly requests: readonly TraceRequest[];
    readonly faults: readonly TraceFault[];
}

/** An invalid line of a trace. */
export class TraceError extends Error {
    /**
     * @param line - Line number, counted from 1.
     * @param field - Path of the invalid field; empty when the line as a whole is invalid.
     * @param detail - Description of the fault.
     */
    constructor(readonly line: number, readonly field: string, detail: string) {
        super(`line ${line}${field === "" ? "" : `, ${field}`}: ${detail}`);
    }
}

/**
 * Parses a trace.
 *
 * @param text - Content of the trace file.
 * @returns The trace, or an error that names the first invalid line and field.
 * @example
 * parseTrace('{"version":1,...}\n{"at_ms":0,"kind":"chat",...}\n');
 */
export function parseTrace(text: string): Either<TraceError, Trace> {
    const lines = text.split("\n");
    if (lines[lines.length - 1] === "") lines.pop();
    return parseLine(lines[0] ?? "", 1, traceHeaderSchema).chain(header =>
        Either.sequence(lines.slice(1).map((line, index) => parseEventLine(line, index + 2, header))).map(parsed => ({
            header,
            requests: parsed.filter(line => line.kind !== "fault"),
            faults: parsed.filter(line => line.kind === "fault"),
        }))
    );
}

/**
 * Formats a trace as JSON Lines, with requests and faults in the order of time.
 *
 * @example
 * formatTrace({ header, requests, faults: [] });
 */
export function formatTrace({ header, requests, faults }: Trace): string {
    const events = [...requests, ...faults].sort((a, b) => a.at_ms - b.at_ms);
    return [header, ...events].map(line => `${JSON.stringify(line)}\n`).join("");
}

function parseEventLine(text: string, line: number, header: TraceHeader): Either<TraceError, TraceLine> {
    return parseLine(text, line, traceLineSchema).chain<TraceError, TraceLine>(parsed =>
        parsed.kind === "fault" ? Right(parsed) : checkDeclared(parsed, line, header)
    );
}

/** Checks that the header declares the class, workspace, and model or service of a request. */
function checkDeclared(request: TraceRequest, line: number, header: TraceHeader): Either<TraceError, TraceRequest> {
    const reject = (field: string, name: string): Either<TraceError, TraceRequest> =>
        Left(new TraceError(line, field, `"${name}" is not in the header`));
    if (!header.classes.some(({ name }) => name === request.class)) return reject("class", request.class);
    if (!header.workspaces.some(({ name }) => name === request.workspace)) {
        return reject("workspace", request.workspace);
    }
    if (request.kind === "chat" && !header.models.includes(request.model)) return reject("model", request.model);
    if (request.kind === "service" && !header.services.includes(request.service)) {
        return reject("service", request.service);
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
