import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { Address, formatAddress, Http, HttpError, HttpReply, HttpRequest, HttpResponse } from "../../ports/index.js";

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const JSON_TYPE = ["content-type", "application/json"] as const;

/** A request body that is not what the stand-in expects. */
export class BadBodyError extends Error {}

/** Reads a request's body as JSON of one shape. */
export async function readJson<Schema extends z.ZodType>(
    req: HttpRequest,
    schema: Schema,
): Promise<Either<BadBodyError, z.infer<Schema>>> {
    const body = await req.body(BODY_LIMIT_BYTES);
    return body.mapLeft(err => new BadBodyError(err.message)).chain(bytes => parseJson(bytes, schema));
}

/** Parses JSON of one shape. */
export function parseJson<Schema extends z.ZodType>(
    bytes: Uint8Array,
    schema: Schema,
): Either<BadBodyError, z.infer<Schema>> {
    try {
        const parsed = schema.safeParse(JSON.parse(Buffer.from(bytes).toString()));
        return parsed.success ? Right(parsed.data) : Left(new BadBodyError(z.prettifyError(parsed.error)));
    }
    catch (err) {
        return Left(new BadBodyError((err as Error).message));
    }
}

/** Sends a whole answer as JSON. */
export function sendJson(res: HttpResponse, status: number, body: unknown, headers: [string, string][] = []): void {
    res.head(status, [JSON_TYPE, ...headers]);
    res.end(JSON.stringify(body));
}

/** Sends an answer without a body. */
export function sendEmpty(res: HttpResponse, status: number): void {
    res.head(status, [["content-length", "0"]]);
    res.end();
}

/** Posts JSON and gives the answer's head. */
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
        headers: [["host", formatAddress(address)], JSON_TYPE, ["content-length", String(bytes.length)]],
        body: bytes,
        fresh: false,
        connectTimeoutMs: timeoutMs,
        headTimeoutMs: timeoutMs,
        signal,
    });
}

/** Reads a body to its end, so that its connection can serve again. */
export async function drainBody(reply: HttpReply): Promise<void> {
    try {
        for await (const chunk of reply.body) void chunk;
    }
    catch {
        // The connection has ended, which leaves nothing to drain.
    }
}
