import { Agent } from "node:http";
import { CALL_HEADERS } from "../../../passthrough/index.js";
import { Address, Random } from "../../../ports/index.js";
import { exchangeCall } from "../../exchangeCall/index.js";
import { makeRandom } from "../../makeRandom/index.js";
import { findPieceFault, StreamExchange } from "../checkGarbledStreams/index.js";
import { STREAM_HOST, STREAM_ROUTES, StreamCallerPlan, StreamRoute } from "../garblePlan/index.js";
import { readEvents } from "../readEvents/index.js";
import { idOf, STREAM_STYLES } from "../streamStyles/index.js";

/** What a caller needs to know of the fleet. */
export interface StreamSurroundings {
    readonly addresses: readonly Address[];
    /** Whether callers still begin streams. */
    readonly isOpen: () => boolean;
    readonly record: (exchange: StreamExchange) => void;
}

/** What a caller has of a stream. */
interface Progress {
    readonly received: number;
    /** Id of the request that brought its first event. */
    readonly begunBy?: string;
}

const CONNECT_PAUSE_MS = 50;
const MAX_PATIENCE_MS = 400;
/** Far longer than the timeout of each route and the longest freeze. */
const GIVE_UP_MS = 20_000;
const EVENTS: readonly [number, number] = [1, 13];
/** Requests for one stream, of which the second and the third go on behind its last event. */
const MAX_TRIES = 3;

/**
 * A caller that keeps its connection open and asks for one stream after the other on it, until it is closed. It then connects to another
 * entry, whatever state that is in. It takes up streams that broke off, where the route allows it.
 *
 * @example
 * await new StreamCaller("caller-1", plan, surroundings).run();
 */
export class StreamCaller {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
    private readonly random: Random;
    private entry = 0;
    private sentCount = 0;

    constructor(
        private readonly name: string,
        private readonly plan: StreamCallerPlan,
        private readonly surroundings: StreamSurroundings,
    ) {
        this.random = makeRandom(plan.seed);
    }

    /** Asks for streams until no more may be begun, and waits for the last answer. */
    async run(): Promise<void> {
        while (this.surroundings.isOpen()) {
            await this.readStream(this.random.pick(STREAM_ROUTES));
            await sleep(this.random.between(0, this.plan.maxThinkMs));
        }
        this.agent.destroy();
    }

    private async readStream(route: StreamRoute): Promise<void> {
        const run = `${this.name}-${++this.sentCount}`;
        const total = this.random.integer(...EVENTS);
        const style = this.random.pick(STREAM_STYLES);
        let progress: Progress = { received: 0 };
        for (let attempt = 1; attempt <= MAX_TRIES; attempt++) {
            const exchange = await this.send(route, { run, total, style, request: `${run}-${attempt}` }, progress);
            if (!exchange) return sleep(CONNECT_PAUSE_MS);
            const events = exchange.status === 200 ? readEvents(exchange.body).events.length : 0;
            const received = progress.received + events;
            const isBroken = exchange.end === "cut" && received > 0 && received < total;
            if (!route.isResumable || !isBroken || findPieceFault(exchange) !== undefined) return;
            progress = { received, begunBy: progress.begunBy ?? exchange.request };
        }
    }

    /** Returns undefined when there was no connection. */
    private async send(
        route: StreamRoute,
        stream: Pick<StreamExchange, "run" | "total" | "style" | "request">,
        { received, begunBy }: Progress,
    ): Promise<StreamExchange | undefined> {
        const isConnected = Object.keys(this.agent.freeSockets).length > 0;
        if (!isConnected) this.entry = this.random.integer(0, this.surroundings.addresses.length);
        const resumption: Record<string, string> = begunBy === undefined
            ? {}
            : { [CALL_HEADERS.lastEventId]: String(idOf(stream.style, received)), [CALL_HEADERS.resumes]: begunBy };
        const sentAt = Date.now();
        const answer = await exchangeCall({
            agent: this.agent,
            address: this.surroundings.addresses[this.entry],
            path: `/${route.name}/${stream.run}/${stream.total}/${stream.style.name}`,
            headers: { host: STREAM_HOST, [CALL_HEADERS.request]: stream.request, ...resumption },
            body: stream.run,
            giveUpMs: GIVE_UP_MS,
            leaveAfterMs: this.random.next() < this.plan.leaves ? this.random.between(0, MAX_PATIENCE_MS) : undefined,
        });
        if (!answer) return undefined;
        const { status, body, end } = answer;
        const { name, isResumable } = route;
        const { entry } = this;
        const exchange = { ...stream, from: received + 1, route: name, isResumable, entry, sentAt, status, body, end };
        this.surroundings.record(exchange);
        return exchange;
    }
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
