import { Either } from "purify-ts";
import {
    Address,
    Http,
    HttpError,
    HttpReply,
    MemoryFabric,
    MemoryHttpFabric,
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
import { DEFAULT_ANNOUNCER_CONFIG } from "../announcer/index.js";
import { DEFAULT_ENGINE_TIMING } from "../batch/index.js";
import { EmulatedEngine, EngineConfig } from "../emulatedEngine/index.js";
import { KeyWatch } from "../keyWatch/index.js";
import { EmulatorPorts } from "./emulatorPorts.js";
import { postJson, readJson, sendEmpty } from "./json.js";

const ENTRY_ADDRESS: Address = { host: "entry", port: 1 };
const TEST_TIMEOUT_MS = 60_000;

/** Options of a test's chat request. */
export interface ChatOptions {
    readonly id?: string;
    readonly prompt: string;
    readonly priority?: number;
    readonly offset?: number;
    readonly maxTokens?: number;
    readonly signal?: AbortSignal;
}

/** A chat answer as the test's client received it. */
export interface ReceivedAnswer {
    readonly text: string;
    readonly chunks: readonly EngineChunk[];
    /** Whether the terminal event arrived. */
    readonly isDone: boolean;
    /** Whether the connection was reset before the end of the body. */
    readonly isCut: boolean;
    /** Arrival of the first bytes, in milliseconds on the monotonic clock. */
    readonly firstTokenAt: number;
    /** End of the body, in milliseconds on the monotonic clock. */
    readonly endedAt: number;
}

/** Test environment with a virtual clock, an in-memory network and an entry that records all announcements. */
export class MemoryWorld {
    readonly clock = new VirtualClock();
    readonly fabric = new MemoryFabric(this.clock, () => 0);
    readonly web = new MemoryHttpFabric(this.fabric);
    readonly keyWatch = new KeyWatch();
    readonly announcements: Announcement[] = [];
    readonly client: Http = this.web.http("entry");

    /** Returns the ports of one host of the network. */
    ports(host: string): EmulatorPorts {
        return { clock: this.clock, random: new SeededRandom(7), http: this.web.http(host), keyWatch: this.keyWatch };
    }

    /** Starts an engine, and also the entry that it announces itself to unless that runs already. */
    async startEngine(overrides: Partial<EngineConfig> = {}): Promise<{ engine: EmulatedEngine; address: Address; }> {
        if (!this.web.servers.has("entry:1")) await this.startEntry();
        const engine = new EmulatedEngine(this.ports("engine"), { ...makeEngineConfig(), ...overrides });
        return { engine, address: await engine.start() };
    }

    /** Posts JSON from the test's client. */
    post(address: Address, path: string, body: unknown): Promise<Either<HttpError, HttpReply>> {
        return postJson(this.client, address, path, body, TEST_TIMEOUT_MS);
    }

    /** Posts JSON and returns the reply's status, or 0 without a reply. */
    async postForStatus(address: Address, path: string, body: unknown): Promise<number> {
        const reply = await this.post(address, path, body);
        return reply.caseOf({ Left: () => 0, Right: ({ status }) => status });
    }

    /** Sends a chat request and receives its answer to the end. */
    async chat(address: Address, options: ChatOptions): Promise<ReceivedAnswer> {
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
        return this.receiveAnswer(reply.unsafeCoerce());
    }

    private async receiveAnswer(reply: HttpReply): Promise<ReceivedAnswer> {
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
        await this.web.http("entry").serve(ENTRY_ADDRESS, undefined as never, async (req, res) => {
            if (req.path !== ANNOUNCE_PATH) return sendEmpty(res, 404);
            const body = await readJson(req, announcementSchema);
            this.announcements.push(body.unsafeCoerce());
            sendEmpty(res, 204);
        });
    }
}

/** Makes the config of an engine with 2 slots and steps of exactly 10 ms. */
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
        pace: { ...DEFAULT_ENGINE_TIMING, slots: 2, stepMs: 10, stepMsPerRequest: 0, prefillMsPerToken: 0 },
        cacheBlocks: 8,
        meanTokens: 60,
        announcer: { ...DEFAULT_ANNOUNCER_CONFIG, entries: [ENTRY_ADDRESS], cacheLoss: 0 },
    };
}
