import { Agent, ClientRequest, IncomingMessage, request as sendHttp } from "node:http";
import { CALL_HEADERS } from "../../../passthrough/index.js";
import { Address, Random } from "../../../ports/index.js";
import { makeRandom } from "../../makeRandom/index.js";
import { RefusalExchange } from "../checkRefusals/index.js";
import { REFUSAL_HOST, REFUSAL_ROUTES, RefusalCallerPlan, RefusalRoute } from "../refusalPlan/index.js";

/** What a caller needs to know of the fleet. */
export interface CallerSurroundings {
    readonly addresses: readonly Address[];
    /** Whether callers still begin requests. */
    readonly isOpen: () => boolean;
    readonly record: (exchange: RefusalExchange) => void;
}

type Draft = { -readonly [Key in keyof RefusalExchange]: RefusalExchange[Key]; };

const CONNECT_PAUSE_MS = 50;
const MAX_PATIENCE_MS = 300;
/** Far longer than the timeout of each route and the longest freeze. */
const GIVE_UP_MS = 15_000;
const BODY_BYTES: readonly [number, number] = [1, 3_000];

/**
 * A caller that keeps its connection open and sends one request after the other on it, until it is closed. It then connects to another
 * entry, whatever state that is in.
 *
 * @example
 * await new RefusalCaller("caller-1", plan, surroundings).run();
 */
export class RefusalCaller {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
    private readonly random: Random;
    private entry = 0;
    private sentCount = 0;

    constructor(
        private readonly name: string,
        private readonly plan: RefusalCallerPlan,
        private readonly surroundings: CallerSurroundings,
    ) {
        this.random = makeRandom(plan.seed);
    }

    /** Sends requests until no more may be begun, and waits for the last answer. */
    async run(): Promise<void> {
        while (this.surroundings.isOpen()) {
            const isConnected = Object.keys(this.agent.freeSockets).length > 0;
            if (!isConnected) this.entry = this.random.integer(0, this.surroundings.addresses.length);
            const isSent = await this.sendOne(this.random.pick(REFUSAL_ROUTES));
            await sleep(isSent ? this.random.between(0, this.plan.maxThinkMs) : CONNECT_PAUSE_MS);
        }
        this.agent.destroy();
    }

    /** Returns false when there was no connection. */
    private async sendOne(route: RefusalRoute): Promise<boolean> {
        const draft: Draft = {
            request: `${this.name}-${++this.sentCount}`,
            route: route.name,
            entry: this.entry,
            sentAt: Date.now(),
            statesNotRun: false,
            body: "",
            end: "cut",
        };
        const isSent = await this.exchange(draft, "x".repeat(this.random.integer(...BODY_BYTES)));
        if (isSent) this.surroundings.record(draft);
        return isSent;
    }

    private exchange(draft: Draft, body: string): Promise<boolean> {
        const req = sendHttp({
            ...this.surroundings.addresses[this.entry],
            agent: this.agent,
            method: "POST",
            path: `/${draft.route}/1`,
            headers: {
                "host": REFUSAL_HOST,
                "content-length": Buffer.byteLength(body),
                [CALL_HEADERS.request]: draft.request,
            },
        });
        const timers = this.limitPatience(req, draft);
        return new Promise(resolve => {
            let hasConnection = true;
            let answer: Promise<void> | undefined;
            req.once("error", (err: NodeJS.ErrnoException) => hasConnection = err.code !== "ECONNREFUSED");
            req.once("response", res => answer = readAnswer(draft, res));
            req.once("close", async () => {
                for (const timer of timers) clearTimeout(timer);
                await answer;
                resolve(hasConnection);
            });
            req.end(body);
        });
    }

    /** Starts the timers that end a request without an answer. */
    private limitPatience(req: ClientRequest, draft: Draft): NodeJS.Timeout[] {
        const end = (kind: Draft["end"]): void => {
            draft.end = kind;
            req.destroy();
        };
        const timers = [setTimeout(() => end("unanswered"), GIVE_UP_MS)];
        if (this.random.next() < this.plan.leaves) {
            timers.push(setTimeout(() => end("left"), this.random.between(0, MAX_PATIENCE_MS)));
        }
        return timers;
    }
}

/** Reads an answer to its end, whole or not. */
async function readAnswer(draft: Draft, res: IncomingMessage): Promise<void> {
    draft.status = res.statusCode;
    draft.statesNotRun = res.headers[CALL_HEADERS.notRun] !== undefined;
    const closed = new Promise<void>(resolve => res.once("close", resolve));
    res.on("error", () => undefined);
    res.setEncoding("latin1");
    res.on("data", (chunk: string) => draft.body += chunk);
    await closed;
    if (res.complete) draft.end = "whole";
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
