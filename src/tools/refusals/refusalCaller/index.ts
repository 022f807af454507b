import { Agent } from "node:http";
import { CALL_HEADERS } from "../../../passthrough/index.js";
import { Address, Random } from "../../../ports/index.js";
import { exchangeCall } from "../../exchangeCall/index.js";
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
        const sent = {
            request: `${this.name}-${++this.sentCount}`,
            route: route.name,
            entry: this.entry,
            sentAt: Date.now(),
        };
        const answer = await exchangeCall({
            agent: this.agent,
            address: this.surroundings.addresses[this.entry],
            path: `/${route.name}/1`,
            headers: { host: REFUSAL_HOST, [CALL_HEADERS.request]: sent.request },
            body: "x".repeat(this.random.integer(...BODY_BYTES)),
            giveUpMs: GIVE_UP_MS,
            leaveAfterMs: this.random.next() < this.plan.leaves ? this.random.between(0, MAX_PATIENCE_MS) : undefined,
        });
        if (!answer) return false;
        const { status, headers, body, end } = answer;
        const statesNotRun = headers[CALL_HEADERS.notRun] !== undefined;
        this.surroundings.record({ ...sent, status, statesNotRun, body, end });
        return true;
    }
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
