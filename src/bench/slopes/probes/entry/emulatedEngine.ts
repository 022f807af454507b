import {
    Address,
    Clock,
    DEFAULT_HTTP_LIMITS,
    Http,
    HttpHandler,
    HttpResponse,
    Listener,
} from "../../../../ports/index.js";
import { ANNOUNCE_PATH, EngineChunk, STREAM_DONE } from "../../../../protocol/index.js";
import { makeAnnouncement } from "../announcements/index.js";

const ANNOUNCE_INTERVAL_MS = 500;
const TIMEOUT_MS = 1_000;
const SLOTS = 10_000;
const MAX_BODY_BYTES = 65_536;

/** Length of the answers in tokens, and time between tokens. */
export interface ResponsePace {
    readonly tokens: number;
    readonly tokenMs: number;
}

/** Minimal engine that an entry accepts: it announces itself and streams tokens at a constant pace. */
export class EmulatedEngine {
    pace: ResponsePace = { tokens: 1, tokenMs: 1 };
    private listener: Listener | undefined;
    private sequence = 0;

    constructor(private readonly clock: Clock, private readonly http: Http) {}

    get address(): Address {
        return this.listener!.address;
    }

    async start(): Promise<void> {
        const answer: HttpHandler = async (req, res) => {
            const body = (await req.body(MAX_BODY_BYTES)).unsafeCoerce();
            await this.stream(JSON.parse(Buffer.from(body).toString()).request_id, res);
        };
        this.listener = await this.http.serve({ host: "127.0.0.1", port: 0 }, DEFAULT_HTTP_LIMITS, answer);
    }

    close(): Promise<void> {
        return this.listener!.close();
    }

    /** Announces the engine to an entry until the signal is aborted. */
    async announce(to: Address, signal: AbortSignal): Promise<void> {
        const { host, port } = this.address;
        while (!signal.aborted) {
            const announcement = { ...makeAnnouncement(0), sequence: ++this.sequence, slots: SLOTS, zone: "north-2" };
            const reply = await this.http.send({
                address: to,
                method: "POST",
                path: ANNOUNCE_PATH,
                headers: [],
                body: Buffer.from(JSON.stringify({ ...announcement, address: `${host}:${port}`, cache: undefined })),
                newConnection: false,
                connectTimeoutMs: TIMEOUT_MS,
                headTimeoutMs: TIMEOUT_MS,
            });
            await reply.map(({ body }) => countBytes(body)).orDefault(Promise.resolve(0));
            await this.clock.sleep(ANNOUNCE_INTERVAL_MS, signal);
        }
    }

    private async stream(id: string, res: HttpResponse): Promise<void> {
        const { tokens, tokenMs } = this.pace;
        res.head(200, [["content-type", "text/event-stream"]]);
        for (let offset = 0; offset < tokens; offset++) {
            await res.write(
                formatEvent({ id, offset, tokens: 1, choices: [{ index: 0, delta: { content: " word" } }] }),
            );
            await this.clock.sleep(tokenMs);
        }
        const usage = { prompt_tokens: 12, cached_tokens: 0, completion_tokens: tokens };
        const choices = [{ index: 0, delta: {}, finish_reason: "stop" }];
        await res.write(formatEvent({ id, offset: tokens, tokens: 0, choices, usage }));
        res.end(`data: ${STREAM_DONE}\n\n`);
    }
}

/** Reads a body to its end and returns its size in bytes. */
export async function countBytes(body: AsyncIterable<Uint8Array>): Promise<number> {
    let size = 0;
    for await (const bytes of body) size += bytes.length;
    return size;
}

function formatEvent(chunk: unknown): string {
    return `data: ${JSON.stringify(chunk as EngineChunk)}\n\n`;
}
