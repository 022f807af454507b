import { Either } from "purify-ts";
import {
    Address,
    Http,
    HttpError,
    HttpReply,
    MemoryFabric,
    MemoryWeb,
    SeededRandom,
    VirtualClock,
} from "../../ports/index.js";
import {
    ANNOUNCE_PATH,
    Announcement,
    announcementSchema,
    EngineChunk,
    engineChunkSchema,
} from "../../protocol/index.js";
import { DEFAULT_ANNOUNCER } from "../announcer/index.js";
import { DEFAULT_ENGINE_PACE } from "../batch/index.js";
import { EngineConfig, EngineStandIn } from "../engineStandIn/index.js";
import { KeyWatch } from "../keyWatch/index.js";
import { postJson, readJson, sendEmpty } from "./json.js";
import { StandInPorts } from "./standInPorts.js";

const ENTRY: Address = { host: "entry", port: 1 };
const TEST_TIMEOUT_MS = 60_000;

/** What a chat request of a test differs in. */
export interface ChatOptions {
    readonly id?: string;
    readonly prompt: string;
    readonly priority?: number;
    readonly offset?: number;
    readonly maxTokens?: number;
    readonly signal?: AbortSignal;
}

/** An answer as a test reads it. */
export interface ReadAnswer {
    readonly text: string;
    readonly chunks: readonly EngineChunk[];
    /** The terminal event came. */
    readonly isDone: boolean;
    /** The connection broke off. */
    readonly isCut: boolean;
    /** Milliseconds on the monotonic clock. */
    readonly firstTokenAt: number;
    readonly endedAt: number;
}

/** One process with a virtual clock, an in-memory network and an entry that keeps all announcements. */
export class MemoryWorld {
    readonly clock = new VirtualClock();
    readonly fabric = new MemoryFabric(this.clock, () => 0);
    readonly web = new MemoryWeb(this.fabric);
    readonly keyWatch = new KeyWatch();
    readonly announcements: Announcement[] = [];
    readonly client: Http = this.web.http("entry");

    /** The ports as one host has them. */
    ports(host: string): StandInPorts {
        return { clock: this.clock, random: new SeededRandom(7), http: this.web.http(host), keyWatch: this.keyWatch };
    }

    /** Starts an engine, and the entry that it announces itself to. */
    async startEngine(change: Partial<EngineConfig> = {}): Promise<{ engine: EngineStandIn; address: Address; }> {
        if (!this.web.servers.has("entry:1")) await this.startEntry();
        const engine = new EngineStandIn(this.ports("engine"), { ...makeEngineConfig(), ...change });
        return { engine, address: await engine.start() };
    }

    /** Posts JSON. */
    post(address: Address, path: string, body: unknown): Promise<Either<HttpError, HttpReply>> {
        return postJson(this.client, address, path, body, TEST_TIMEOUT_MS);
    }

    /** Posts JSON and gives the answer's status; 0 when none came. */
    async postForStatus(address: Address, path: string, body: unknown): Promise<number> {
        const reply = await this.post(address, path, body);
        return reply.caseOf({ Left: () => 0, Right: ({ status }) => status });
    }

    /** Sends a chat request and reads its answer to the end. */
    async chat(address: Address, options: ChatOptions): Promise<ReadAnswer> {
        const reply = await postJson(
            this.client,
            address,
            "/v1/chat/completions",
            {
                model: "draft",
                messages: [{ role: "user", content: options.prompt }],
                max_tokens: options.maxTokens ?? 1_000,
                stream: true,
                request_id: options.id ?? "r1",
                priority: options.priority ?? 0,
                ...(options.offset === undefined ? {} : { resume: { offset: options.offset } }),
            },
            TEST_TIMEOUT_MS,
            options.signal,
        );
        return this.readAnswer(reply.unsafeCoerce());
    }

    private async readAnswer(reply: HttpReply): Promise<ReadAnswer> {
        let raw = "";
        let firstTokenAt = 0;
        let isCut = false;
        try {
            for await (const bytes of reply.body) {
                if (raw === "") firstTokenAt = this.clock.monotonic();
                raw += Buffer.from(bytes).toString();
            }
        }
        catch {
            isCut = true;
        }
        const events = raw.split("\n\n").filter(Boolean).map(event => event.replace(/^data: /, ""));
        const isDone = events[events.length - 1] === "[DONE]";
        const chunks = events.filter(event => event !== "[DONE]")
            .map(event => engineChunkSchema.parse(JSON.parse(event)));
        const text = chunks.map(chunk => chunk.choices[0].delta.content ?? "").join("");
        return { text, chunks, isDone, isCut, firstTokenAt, endedAt: this.clock.monotonic() };
    }

    private async startEntry(): Promise<void> {
        await this.web.http("entry").serve(ENTRY, undefined as never, async (req, res) => {
            if (req.path !== ANNOUNCE_PATH) return sendEmpty(res, 404);
            const body = await readJson(req, announcementSchema);
            this.announcements.push(body.unsafeCoerce());
            sendEmpty(res, 204);
        });
    }
}

/** An engine with round figures: 10 ms for each step, and a slot for two. */
export function makeEngineConfig(): EngineConfig {
    return {
        identity: {
            id: "draft-1",
            incarnation: 1,
            pools: ["draft"],
            zone: "vogar",
            pricePerHour: 1,
            reclaimable: true,
            checksFence: true,
        },
        address: { host: "engine", port: 0 },
        pace: { ...DEFAULT_ENGINE_PACE, slots: 2, stepMs: 10, stepMsPerRequest: 0, prefillMsPerToken: 0 },
        cacheBlocks: 8,
        meanTokens: 60,
        announcer: { ...DEFAULT_ANNOUNCER, entries: [ENTRY], cacheLoss: 0 },
    };
}
