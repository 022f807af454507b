import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { Address, formatAddress, Http, HttpError, HttpReply, HttpRequest, HttpResponse } from "../../ports/index.js";

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const JSON_CONTENT_TYPE_HEADER = ["content-type", "application/json"] as const;

/** A request body that can't be read, or doesn't match the expected schema. */
export class InvalidBodyError extends Error {}

/** Reads a request's body as JSON and checks it against a schema. */
export async function readJson<Schema extends z.ZodType>(
    req: HttpRequest,
    schema: Schema,
): Promise<Either<InvalidBodyError, z.infer<Schema>>> {
    const body = await req.body(MAX_BODY_BYTES);
    return body.mapLeft(err => new InvalidBodyError(err.message)).chain(bytes => parseJson(bytes, schema));
}

/** Parses JSON and checks it against a schema. */
export function parseJson<Schema extends z.ZodType>(
    bytes: Uint8Array,
    schema: Schema,
): Either<InvalidBodyError, z.infer<Schema>> {
    try {
        const parsed = schema.safeParse(JSON.parse(Buffer.from(bytes).toString()));
        return parsed.success ? Right(parsed.data) : Left(new InvalidBodyError(z.prettifyError(parsed.error)));
    }
    catch (err) {
        return Left(new InvalidBodyError((err as Error).message));
    }
}

/** Sends a complete JSON response. */
export function sendJson(res: HttpResponse, status: number, body: unknown, headers: [string, string][] = []): void {
    res.head(status, [JSON_CONTENT_TYPE_HEADER, ...headers]);
    res.end(JSON.stringify(body));
}

/** Sends a response without a body. */
export function sendEmpty(res: HttpResponse, status: number): void {
    res.head(status, [["content-length", "0"]]);
    res.end();
}

/** Posts JSON and returns the reply once its head has arrived. */
export function postJson(
    http: Http,
    address: Address,
    path: string,
    body: unknown,
    timeoutMs: number,
    signal?: AbortSignal,
): Promise<Either<HttpError, HttpReply>> {
    const bytes = Buffer.from(JSON.stringify(body));
    return http.send({
        address,
        method: "POST",
        path,
        headers: [["host", formatAddress(address)], JSON_CONTENT_TYPE_HEADER, ["content-length", String(bytes.length)]],
        body: bytes,
        newConnection: false,
        connectTimeoutMs: timeoutMs,
        headTimeoutMs: timeoutMs,
        signal,
    });
}

/** Reads a body to its end, so that its connection can be reused. */
export async function drainBody(reply: HttpReply): Promise<void> {
    try {
        for await (const chunk of reply.body) void chunk;
    }
    catch {
        // The connection is closed; nothing is left to drain.
    }
}
