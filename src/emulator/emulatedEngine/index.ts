import { Clock, HttpRequest, HttpResponse } from "../../ports/index.js";
import {
    Announcement,
    ENGINE_PATHS,
    engineCancelSchema,
    EngineOrder,
    engineOrderSchema,
    engineRequestSchema,
    LoadReport,
} from "../../protocol/index.js";
import { EmulatorPorts } from "../_lib/emulatorPorts.js";
import { parseJson, sendEmpty, sendJson } from "../_lib/json.js";
import { AnswerService, AnswerServiceConfig, AnswerStats } from "../answerService/index.js";
import { ChatLedger } from "../chatLedger/index.js";
import { hasCrashHint } from "../crashHint/index.js";
import { EmulatedUpstream, UpstreamConfig } from "../emulatedUpstream/index.js";
import { FaultQueue } from "../engineFaults/index.js";
import { kvExportSchema, kvStateSchema } from "../kvTransfer/index.js";
import { OrderLog } from "../orderLog/index.js";

/** Config of an emulated engine. */
export interface EngineConfig extends AnswerServiceConfig, UpstreamConfig {}

/** Statistics of an emulated engine. */
export interface EngineStats extends AnswerStats {
    readonly id: string;
    readonly address: string;
    readonly state: Announcement["state"];
    /** Requests that arrived more than 2 s after the engine announced that it leaves. */
    readonly lateRequests: number;
    /** Orders received. */
    readonly orders: number;
    /** Orders accepted although an earlier order had a newer fencing token. */
    readonly orderReversals: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Emulates a model engine: continuous batching, a bounded prefix cache, priorities, resume, cancel, KV transfer and
 * orders, with faults on demand.
 *
 * @example
 * const engine = new EmulatedEngine(ports, cfg);
 * const address = await engine.start();
 */
export class EmulatedEngine extends EmulatedUpstream {
    /** Faults for the next chat requests. */
    readonly faults = new FaultQueue();
    /** Orders received. */
    readonly orders: OrderLog;
    /** Targets of executed orders other than `drain` (models, adapters and roles), in order. */
    readonly loadedTargets: string[] = [];
    protected readonly kind = "engine";
    private readonly answers: AnswerService;
    private readonly pools: Set<string>;
    private readonly thawCallbacks = new Set<() => void>();
    private readonly throughputMeter: ThroughputMeter;
    private isFrozen = false;

    /**
     * @param ports - Clock, random numbers, HTTP and key watch.
     * @param cfg - Identity, address, timing and announcements.
     * @param ledger - Records its streams; may be shared with other engines.
     */
    constructor(ports: EmulatorPorts, private readonly cfg: EngineConfig, ledger = new ChatLedger()) {
        super(ports, cfg);
        this.orders = new OrderLog(cfg.identity.checksFence);
        this.pools = new Set(cfg.identity.pools);
        this.answers = new AnswerService(ports.clock, cfg, ledger, event => this.announcer.addCacheEvent(event));
        this.throughputMeter = new ThroughputMeter(ports.clock);
    }

    override async start(): ReturnType<EmulatedUpstream["start"]> {
        this.runTask(signal => this.answers.batch.run(signal));
        return super.start();
    }

    /** Suspends or resumes steps, requests and announcements, without notice; connections stay open. */
    setFrozen(frozen: boolean): void {
        this.isFrozen = frozen;
        this.answers.batch.setFrozen(frozen);
        this.setMuted(frozen);
        if (frozen) return;
        for (const resume of this.thawCallbacks) resume();
        this.thawCallbacks.clear();
    }

    /** Sets the factor on the duration of each batch step; above 1 the engine is a straggler. */
    setSlowdown(factor: number): void {
        this.answers.batch.slowdownFactor = factor;
    }

    readLoad(): LoadReport {
        const { running, queued, tokens } = this.answers.stats();
        const tokensPerSecond = this.throughputMeter.read(tokens);
        return { running, queued, kv_used: this.answers.cacheUsedShare, tokens_per_second: tokensPerSecond, age_ms: 0 };
    }

    /** Returns its statistics so far. */
    stats(): EngineStats {
        return {
            id: this.id,
            address: this.address,
            state: this.state.current,
            lateRequests: this.state.lateRequests,
            orders: this.orders.orders.length,
            orderReversals: this.orders.countReversals(),
            ...this.answers.stats(),
        };
    }

    protected get slotCount(): number {
        return this.cfg.pace.slots;
    }

    protected get poolNames(): readonly string[] {
        return [...this.pools];
    }

    protected get openAnswerCount(): number {
        return this.answers.openStreamCount;
    }

    protected resetOpenAnswers(): void {
        this.answers.resetAllStreams();
    }

    protected async handle(bytes: Uint8Array, req: HttpRequest, res: HttpResponse): Promise<void> {
        await this.waitWhileFrozen();
        const path = req.path.split("?")[0];
        if (req.method !== "POST") return sendJson(res, 405, { error: "method" });
        if (path === ENGINE_PATHS.chat) return this.handleChat(bytes, req, res);
        if (path === ENGINE_PATHS.cancel) return this.handleCancel(bytes, res);
        if (path === ENGINE_PATHS.kvExport) return this.handleKvExport(bytes, res);
        if (path === ENGINE_PATHS.kvImport) return this.handleKvImport(bytes, res);
        if (path === ENGINE_PATHS.orders) return this.handleOrder(bytes, res);
        sendJson(res, 404, { error: "no such path" });
    }

    private async waitWhileFrozen(): Promise<void> {
        if (!this.isFrozen) return;
        await new Promise<void>(resolve => this.thawCallbacks.add(resolve));
    }

    private async handleChat(bytes: Uint8Array, req: HttpRequest, res: HttpResponse): Promise<void> {
        this.state.recordRequest();
        const parsed = parseJson(bytes, engineRequestSchema);
        if (parsed.isLeft()) return sendJson(res, 400, { error: String(parsed.extract()) });
        const body = parsed.unsafeCoerce();
        if (!this.pools.has(body.model)) return sendJson(res, 404, { error: `no model ${body.model}` });
        const fault = this.faults.take();
        if (fault?.kind === "refused") return sendJson(res, fault.status, { error: "refused on demand" });
        if (hasCrashHint(body.messages.at(-1)!.content)) this.scheduleCrash();
        await this.answers.answer(body, req, res, fault);
    }

    /** Crashes the engine after one step's time, when it has begun to run the request. */
    private scheduleCrash(): void {
        const timer = this.ports.clock.after(this.cfg.pace.stepMs, () => void this.crash());
        this.lifecycle.addCleanUp(() => timer.cancel());
    }

    private handleCancel(bytes: Uint8Array, res: HttpResponse): void {
        parseJson(bytes, engineCancelSchema).caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: ({ request_id }) => {
                this.answers.cancel(request_id);
                sendEmpty(res, 204);
            },
        });
    }

    private handleKvExport(bytes: Uint8Array, res: HttpResponse): void {
        parseJson(bytes, kvExportSchema).caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: ({ request_id }) =>
                this.answers.exportKv(request_id).caseOf({
                    Left: () => sendJson(res, 404, { error: "no such request" }),
                    Right: state => sendJson(res, 200, state),
                }),
        });
    }

    private handleKvImport(bytes: Uint8Array, res: HttpResponse): void {
        parseJson(bytes, kvStateSchema).caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: state => {
                this.answers.importKv(state);
                sendEmpty(res, 204);
            },
        });
    }

    private handleOrder(bytes: Uint8Array, res: HttpResponse): void {
        parseJson(bytes, engineOrderSchema).caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: order => this.receiveOrder(order, res),
        });
    }

    private receiveOrder(order: EngineOrder, res: HttpResponse): void {
        const verdict = this.orders.receive(
            { orderId: order.order_id, fencingToken: order.fencing_token, action: order.action, target: order.target },
            this.ports.clock.monotonic(),
        );
        if (verdict === "stale") return sendJson(res, 409, { error: "stale" });
        if (verdict === "fresh") this.executeOrder(order);
        sendJson(res, 200, { order_id: order.order_id });
    }

    private executeOrder(order: EngineOrder): void {
        if (order.action === "drain") {
            this.leave();
            return;
        }
        this.loadedTargets.push(order.target);
        if (order.action === "load_model") this.pools.add(order.target);
        this.announcer.announce();
    }
}

/** Measures tokens per second between two reads. */
class ThroughputMeter {
    private lastReadAtMs: number;
    private lastTokens = 0;

    constructor(private readonly clock: Clock) {
        this.lastReadAtMs = clock.monotonic();
    }

    read(tokens: number): number {
        const nowMs = this.clock.monotonic();
        const seconds = (nowMs - this.lastReadAtMs) / MS_PER_SECOND;
        const tokensPerSecond = seconds > 0 ? (tokens - this.lastTokens) / seconds : 0;
        this.lastReadAtMs = nowMs;
        this.lastTokens = tokens;
        return tokensPerSecond;
    }
}
