import { Either, Left, Right } from "purify-ts";
import { BodyError, HeaderList, HttpHandler, HttpRequest, HttpResponse } from "../http/index.js";
import { Connection } from "../network/index.js";

const HEAD_END = "\r\n\r\n";

/**
 * Serves one HTTP/1.1 request over a byte stream, then closes the stream. Lets code that writes HTTP directly to a
 * connection reach the same in-memory servers as code that uses `Http`.
 */
export async function serveRawConnection(connection: Connection, handler: HttpHandler): Promise<void> {
    const req = await readRequest(connection);
    if (!req) {
        connection.reset();
        return;
    }
    const res = new RawResponse(connection);
    try {
        await handler(req, res);
    }
    catch {
        connection.reset();
    }
}

async function readRequest(connection: Connection): Promise<RawRequest | undefined> {
    let received = Buffer.alloc(0);
    for (;;) {
        const request = parseRequest(received, connection.remote);
        if (request) return request;
        const chunk = await connection.receive();
        if (!chunk) return undefined;
        received = Buffer.concat([received, chunk]);
    }
}

function parseRequest(received: Buffer, remote: string): RawRequest | undefined {
    const headEnd = received.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const [line, ...fields] = received.subarray(0, headEnd).toString("latin1").split("\r\n");
    const headers = fields.map(field => {
        const colon = field.indexOf(":");
        return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()] as const;
    });
    const length = Number(headers.find(([name]) => name === "content-length")?.[1] ?? 0);
    const body = received.subarray(headEnd + HEAD_END.length);
    if (body.length < length) return undefined;
    const [method, path] = line.split(" ");
    return new RawRequest(method, path, headers, remote, body.subarray(0, length));
}

class RawRequest extends HttpRequest {
    readonly closed = new AbortController().signal;

    constructor(
        readonly method: string,
        readonly path: string,
        readonly headers: HeaderList,
        readonly remote: string,
        private readonly bytes: Uint8Array,
    ) {
        super();
    }

    async body(limitBytes: number): Promise<Either<BodyError, Uint8Array>> {
        return this.bytes.length > limitBytes ? Left(new BodyError("too-large")) : Right(this.bytes);
    }
}

/** Buffers the whole body, since the header section carries its length. */
class RawResponse extends HttpResponse {
    private status = 200;
    private headers: HeaderList = [];
    private readonly parts: Uint8Array[] = [];

    constructor(private readonly connection: Connection) {
        super();
    }

    head(status: number, headers: HeaderList): void {
        this.status = status;
        this.headers = headers;
    }

    write(chunk: string | Uint8Array): Promise<void> {
        this.parts.push(Buffer.from(chunk as string));
        return Promise.resolve();
    }

    end(chunk?: string | Uint8Array): void {
        if (chunk !== undefined) void this.write(chunk);
        const body = Buffer.concat(this.parts);
        const fields = this.headers.filter(([name]) => name !== "content-length").map(([name, value]) =>
            `${name}: ${value}`
        );
        const lines = [`HTTP/1.1 ${this.status} -`, ...fields, `content-length: ${body.length}`, "connection: close"];
        this.connection.send(Buffer.concat([Buffer.from(lines.join("\r\n") + HEAD_END, "latin1"), body]));
        this.connection.close();
    }

    reset(): void {
        this.connection.reset();
    }
}
