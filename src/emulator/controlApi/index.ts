import { z } from "zod";
import {
    Address,
    DEFAULT_HTTP_LIMITS,
    Http,
    HttpRequest,
    HttpResponse,
    Listener,
    parseAddress,
} from "../../ports/index.js";
import { offerSchema } from "../../protocol/index.js";
import { readJson, sendEmpty, sendJson } from "../_lib/json.js";
import { EngineStandIn } from "../engineStandIn/index.js";
import { KeyWatch } from "../keyWatch/index.js";
import { StandInSet } from "../standInSet/index.js";

const count = z.int().min(0);
const engineFaultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.enum(["cut", "silent", "unfinished"]), afterTokens: count }),
    z.object({ kind: z.literal("late"), delayMs: z.number() }),
    z.object({ kind: z.literal("crossed"), id: z.string() }),
    z.object({ kind: z.literal("refused"), status: z.int() }),
]);
const serviceFaultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("late"), delayMs: z.number() }),
    z.object({ kind: z.enum(["lost", "silent"]) }),
    z.object({ kind: z.literal("crossed"), id: z.string() }),
    z.object({ kind: z.literal("refused"), status: z.int() }),
]);
const platformFaultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("lost") }),
    z.object({ kind: z.enum(["late", "held"]), delayMs: z.number() }),
    z.object({ kind: z.literal("busy"), retryAfterSeconds: count }),
]);

/** One thing to do to the stand-ins: the body of `POST /do`. */
export const controlActionSchema = z.discriminatedUnion("action", [
    z.object({ action: z.enum(["crash", "leave", "stop", "freeze", "thaw", "mute", "unmute"]), upstream: z.string() }),
    z.object({ action: z.literal("slow"), upstream: z.string(), factor: z.number().positive() }),
    z.object({ action: z.literal("engine-faults"), upstream: z.string(), faults: z.array(engineFaultSchema) }),
    z.object({ action: z.literal("service-faults"), upstream: z.string(), faults: z.array(serviceFaultSchema) }),
    z.object({ action: z.literal("platform-faults"), faults: z.array(platformFaultSchema) }),
    z.object({ action: z.literal("reclaim-zone"), zone: z.string(), noticeMs: z.number().min(0) }),
    z.object({ action: z.literal("set-offers"), offers: z.array(offerSchema) }),
    z.object({ action: z.literal("set-entries"), entries: z.array(z.string()) }),
    z.object({ action: z.literal("watch-keys"), keys: z.array(z.string()) }),
]);
export type ControlAction = z.infer<typeof controlActionSchema>;

/** What ran: the answer to `GET /runs`. */
export const runsSchema = z.object({
    calls: z.array(z.object({ service: z.string(), digest: z.string(), runs: z.int() })),
    chats: z.array(z.object({ request: z.string(), runs: z.int(), tokens: z.int() })),
});
export type Runs = z.infer<typeof runsSchema>;

/** Where the emulator is asked and steered. */
export const CONTROL_PATHS = {
    stats: "/stats",
    runs: "/runs",
    orders: "/orders",
    reports: "/reports",
    do: "/do",
} as const;

/**
 * The emulator's own port: `GET /stats`, `/runs`, `/orders` and `/reports` tell what came, and `POST /do` brings about
 * faults.
 */
export class ControlApi {
    constructor(private readonly http: Http, private readonly set: StandInSet, private readonly watch: KeyWatch) {}

    /** Listens; port 0 means any free one. */
    async start(address: Address): Promise<Listener> {
        return this.http.serve(address, DEFAULT_HTTP_LIMITS, (req, res) => this.handle(req, res));
    }

    private async handle(req: HttpRequest, res: HttpResponse): Promise<void> {
        if (req.path === CONTROL_PATHS.stats) return sendJson(res, 200, this.set.stats());
        if (req.path === CONTROL_PATHS.runs) return sendJson(res, 200, this.listRuns());
        if (req.path === CONTROL_PATHS.orders) return sendJson(res, 200, this.set.platform.orders.log.orders);
        if (req.path === CONTROL_PATHS.reports) return sendJson(res, 200, this.set.platform.usage.received);
        if (req.path !== CONTROL_PATHS.do) return sendJson(res, 404, { error: "no such path" });
        const body = await readJson(req, controlActionSchema);
        body.caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: action => this.answer(action, res),
        });
    }

    private listRuns(): Runs {
        return { calls: this.set.ledger.list(), chats: this.set.chats.list() };
    }

    private answer(action: ControlAction, res: HttpResponse): void {
        if (!("upstream" in action)) {
            this.actOnAll(action);
            return sendEmpty(res, 204);
        }
        const upstream = this.set.find(action.upstream);
        if (!upstream) return sendJson(res, 404, { error: `no upstream ${action.upstream}` });
        if (action.action === "service-faults") {
            this.set.services.get(action.upstream)?.addFaults(...action.faults);
            return sendEmpty(res, 204);
        }
        if (action.action === "leave") upstream.leave();
        else if (action.action === "stop") void upstream.stop();
        else if (action.action === "crash") void upstream.crash();
        else if (upstream instanceof EngineStandIn) actOnEngine(upstream, action);
        else return sendJson(res, 400, { error: `${action.action}: ${action.upstream} is not an engine` });
        sendEmpty(res, 204);
    }

    private actOnAll(action: Exclude<ControlAction, { upstream: string; }>): void {
        switch (action.action) {
            case "platform-faults":
                return this.set.platform.addFaults(...action.faults);
            case "reclaim-zone":
                return this.set.platform.orders.reclaimZone(action.zone, action.noticeMs);
            case "set-offers":
                return this.set.platform.orders.setOffers(action.offers);
            case "set-entries":
                return this.set.setEntries(action.entries.flatMap(text => parseAddress(text) ?? []));
            case "watch-keys":
                for (const key of action.keys) this.watch.add(key);
        }
    }
}

function actOnEngine(engine: EngineStandIn, action: Extract<ControlAction, { upstream: string; }>): void {
    switch (action.action) {
        case "freeze":
        case "thaw":
            return engine.setFrozen(action.action === "freeze");
        case "mute":
        case "unmute":
            return engine.setMuted(action.action === "mute");
        case "slow":
            return engine.setSlowdown(action.factor);
        case "engine-faults":
            return engine.faults.add(...action.faults);
    }
}
