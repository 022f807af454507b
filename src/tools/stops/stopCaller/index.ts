import { Agent, ClientRequest, IncomingMessage, request as sendHttp } from "node:http";
import { CALL_HEADERS } from "../../../passthrough/index.js";
import { Address, Random } from "../../../ports/index.js";
import { makeRandom } from "../../makeRandom/index.js";
import { Exchange } from "../checkStops/index.js";
import { CallerPlan, ROUTE_HOST, STOP_ROUTES, StopRoute } from "../stopPlan/index.js";

/** What a caller needs to know of the fleet. */
export interface CallerSurroundings {
    readonly addresses: readonly Address[];
    /** Numbers of the entries to which the load balancer sends new connections. */
    readonly listOpenEntries: () => readonly number[];
    /** Whether callers still begin requests. */
    readonly isOpen: () => boolean;
    readonly record: (exchange: Exchange) => void;
}

const MAX_THINK_MS = 400;
const CONNECT_PAUSE_MS = 100;
const PIECES = 5;
const MAX_PIECE_PAUSE_MS = 250;
const MAX_READ_PAUSE_MS = 3_000;
/** Longer than each route's timeout. */
const GIVE_UP_MS = 25_000;

/** State of one request under way. */
type Draft = { -readonly [Key in keyof Exchange]: Exchange[Key]; };

/**
 * A caller that keeps its connection open and sends one request after the other on it, until the entry closes it. It then connects to
 * another entry.
 *
 * @example
 * await new StopCaller("caller-1", plan, surroundings).run();
 */
export class StopCaller {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
    private readonly random: Random;
    private entry = 0;
    private sentCount = 0;

    constructor(
        private readonly name: string,
        private readonly plan: CallerPlan,
        private readonly surroundings: CallerSurroundings,
    ) {
        this.random = makeRandom(plan.seed);
    }

    /** Sends requests until no more may be begun, and waits for the last answer. */
    async run(): Promise<void> {
        while (this.surroundings.isOpen()) {
            if (!this.chooseEntry()) await sleep(CONNECT_PAUSE_MS);
            else await this.sendOne();
            await sleep(this.random.pick([0, 0, this.random.between(0, MAX_THINK_MS)]));
        }
        this.agent.destroy();
    }

    /** Stays at the entry of a connection that is still open. */
    private chooseEntry(): boolean {
        if (Object.keys(this.agent.freeSockets).length > 0) return true;
        const open = this.surroundings.listOpenEntries();
        if (open.length > 0) this.entry = this.random.pick(open);
        return open.length > 0;
    }

    private chooseRoute(): StopRoute {
        const { habit } = this.plan;
        return this.random.pick(STOP_ROUTES.filter(({ isLarge }) => isLarge === (habit === "late-reader")));
    }

    private async sendOne(): Promise<void> {
        const route = this.chooseRoute();
        const events = route.events ? this.random.integer(...route.events) : 0;
        const draft: Draft = {
            request: `${this.name}-${++this.sentCount}`,
            route: route.name,
            entry: this.entry,
            beganAt: Date.now(),
            isRefused: false,
            events: [],
            expectedEvents: events,
            endedAt: 0,
            end: "cut",
        };
        const isSent = await this.exchange(draft, `[events=${events}] ${"x".repeat(this.random.integer(1, 5_000))}`);
        if (!isSent) return sleep(CONNECT_PAUSE_MS);
        draft.endedAt = Date.now();
        this.surroundings.record(draft);
    }

    /** Returns false when there was no connection. */
    private exchange(draft: Draft, body: string): Promise<boolean> {
        const req = sendHttp({
            ...this.surroundings.addresses[this.entry],
            agent: this.agent,
            method: "POST",
            path: `/${draft.route}/1`,
            headers: {
                "host": ROUTE_HOST,
                "content-length": Buffer.byteLength(body),
                [CALL_HEADERS.request]: draft.request,
            },
        });
        return new Promise(resolve => {
            const giveUp = setTimeout(() => {
                draft.end = "unanswered";
                req.destroy();
            }, GIVE_UP_MS);
            let hasConnection = true;
            let answer: Promise<void> | undefined;
            req.once("finish", () => draft.sentAt = Date.now());
            req.once("error", (err: NodeJS.ErrnoException) => hasConnection = err.code !== "ECONNREFUSED");
            req.once("close", async () => {
                clearTimeout(giveUp);
                await answer;
                resolve(hasConnection);
            });
            req.once("response", res => answer = this.read(draft, res));
            void this.sendBody(req, body);
        });
    }

    private async sendBody(req: ClientRequest, body: string): Promise<void> {
        const size = Math.ceil(body.length / (this.plan.habit === "piecewise" ? PIECES : 1));
        for (let start = 0; start < body.length; start += size) {
            if (start > 0) await sleep(this.random.between(0, MAX_PIECE_PAUSE_MS));
            req.write(body.slice(start, start + size));
        }
        req.end();
    }

    /** Reads an answer to its end, whole or not. */
    private async read(draft: Draft, res: IncomingMessage): Promise<void> {
        draft.status = res.statusCode;
        draft.isRefused = res.headers[CALL_HEADERS.notRun] !== undefined;
        let text = "";
        const closed = new Promise<void>(resolve => res.once("close", resolve));
        res.on("error", () => undefined);
        res.setEncoding("latin1");
        if (this.plan.habit === "late-reader") {
            await sleep(this.random.between(0, MAX_READ_PAUSE_MS));
            draft.readAgainAt = Date.now();
        }
        res.on("data", (chunk: string) => text += chunk);
        await closed;
        draft.events = [...text.matchAll(/^id: (\d+)\n/gm)].map(([, id]) => Number(id));
        if (res.complete) draft.end = "whole";
    }
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
