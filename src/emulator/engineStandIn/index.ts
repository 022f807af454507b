import { Lifecycle } from "../../lifecycle/index.js";
import { Address, DEFAULT_HTTP_LIMITS, formatAddress, HttpRequest, HttpResponse, Listener } from "../../ports/index.js";
import {
    Announcement,
    ENGINE_PATHS,
    engineCancelSchema,
    EngineOrder,
    engineOrderSchema,
    engineRequestSchema,
    LoadReport,
} from "../../protocol/index.js";
import { parseJson, sendEmpty, sendJson } from "../_lib/json.js";
import { StandInPorts } from "../_lib/standInPorts.js";
import { AnnouncedUpstream, Announcer, AnnouncerConfig } from "../announcer/index.js";
import { AnswerDesk, AnswerDeskConfig, AnswerStats } from "../answerDesk/index.js";
import { ChatLedger } from "../chatLedger/index.js";
import { FaultQueue } from "../engineFaults/index.js";
import { kvExportSchema, kvStateSchema } from "../kvTransfer/index.js";
import { OrderLog } from "../orderLog/index.js";
import { UpstreamIdentity, UpstreamState } from "../upstreamState/index.js";

/** What one stand-in engine is like. */
export interface EngineConfig extends AnswerDeskConfig {
    readonly identity: UpstreamIdentity;
    /** Where it listens; port 0 means any free one. */
    readonly address: Address;
    readonly announcer: AnnouncerConfig;
}

/** What an engine has done up to now. */
export interface EngineStats extends AnswerStats {
    readonly id: string;
    readonly address: string;
    readonly state: Announcement["state"];
    /** Requests that came later than two seconds after the engine said that it leaves. */
    readonly lateRequests: number;
    readonly orders: number;
    /** Orders obeyed with an older fencing token than one before. */
    readonly orderReversals: number;
}

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const DRAIN_POLL_MS = 10;

/**
 * A model engine in small: continuous batching, a bounded prefix cache, priorities, resume, cancel, KV transfer and
 * orders, with faults on demand.
 *
 * @example
 * const engine = new EngineStandIn(ports, cfg);
 * const address = await engine.start();
 */
export class EngineStandIn implements AnnouncedUpstream {
    /** Faults for the next requests. */
    readonly faults = new FaultQueue();
    /** Orders received. */
    readonly orders: OrderLog;
    /** Models, adapters and roles it was told to take on, in order. */
    readonly loaded: string[] = [];
    private readonly lifecycle = new Lifecycle();
    private readonly desk: AnswerDesk;
    private readonly announcer: Announcer;
    private readonly state: UpstreamState;
    private readonly pools: Set<string>;
    private readonly thaw = new Set<() => void>();
    private listener: Listener | undefined;
    private isFrozen = false;
    private paceSince = 0;
    private paceTokens = 0;

    /**
     * @param ports - What it runs on.
     * @param cfg - What it is like.
     * @param ledger - Where its streams are recorded; may be shared with other engines.
     */
    constructor(private readonly ports: StandInPorts, private readonly cfg: EngineConfig, ledger = new ChatLedger()) {
        this.state = new UpstreamState(ports.clock);
        this.orders = new OrderLog(cfg.identity.checksFence);
        this.pools = new Set(cfg.identity.pools);
        this.announcer = new Announcer(ports, cfg.announcer, this);
        this.desk = new AnswerDesk(ports.clock, cfg, ledger, event => this.announcer.addCacheEvent(event));
    }

    get id(): string {
        return this.cfg.identity.id;
    }

    /**
     * Listens, and begins to announce itself.
     *
     * @returns The address it listens on.
     * @throws NetworkError when the address is taken.
     */
    async start(): Promise<Address> {
        this.listener = await this.ports.http.serve(
            this.cfg.address,
            DEFAULT_HTTP_LIMITS,
            (req, res) => this.handle(req, res),
        );
        this.lifecycle.run(signal => this.desk.batch.run(signal), rethrow);
        this.lifecycle.run(signal => this.announcer.run(signal), rethrow);
        return this.listener.address;
    }

    /** Says that it leaves: it expects no new work, and finishes what it has. */
    leave(): void {
        this.state.leave();
        this.announcer.announce();
    }

    /**
     * Gives notice that the platform takes the engine back, and crashes when the time is up.
     *
     * @param noticeMs - The time until then, in milliseconds.
     */
    reclaim(noticeMs: number): void {
        this.state.leave(noticeMs);
        this.announcer.announce();
        const timer = this.ports.clock.after(noticeMs, () => void this.crash());
        this.lifecycle.own(() => timer.cancel());
    }

    /** Stops as planned: cuts nothing, says the last word, and closes. */
    async stop(): Promise<void> {
        this.leave();
        while (this.desk.openStreams > 0) await this.ports.clock.sleep(DRAIN_POLL_MS);
        this.state.markGone();
        await this.announcer.announceToAll();
        await this.close();
    }

    /** Dies at once: open connections are reset, and nothing is announced any more. */
    async crash(): Promise<void> {
        this.state.markGone();
        this.desk.cutAll();
        await this.close();
    }

    /** Stops every task without a word, or lets them go on. Connections stay open. */
    setFrozen(frozen: boolean): void {
        this.isFrozen = frozen;
        this.desk.batch.setFrozen(frozen);
        this.announcer.setMuted(frozen);
        if (frozen) return;
        for (const resume of this.thaw) resume();
        this.thaw.clear();
    }

    /** Changes which entries are told of it. */
    setEntries(entries: readonly Address[]): void {
        this.announcer.setEntries(entries);
    }

    /** Announces nothing from now on, or again; requests are still served. */
    setMuted(muted: boolean): void {
        this.announcer.setMuted(muted);
    }

    /** Makes it a straggler: each step takes this many times as long. */
    setSlowdown(factor: number): void {
        this.desk.batch.slowdown = factor;
    }

    describe(): ReturnType<AnnouncedUpstream["describe"]> {
        const { identity, pace } = this.cfg;
        return {
            id: identity.id,
            incarnation: identity.incarnation,
            state: this.state.current,
            kind: "engine",
            pools: [...this.pools],
            zone: identity.zone,
            address: formatAddress(this.listener!.address),
            slots: pace.slots,
            price_per_hour: identity.pricePerHour,
            reclaimable: identity.reclaimable,
            checks_fence: identity.checksFence,
            reclaim_in_ms: this.state.reclaimInMs(),
        };
    }

    readLoad(): LoadReport {
        const { running, queued, tokens } = this.desk.stats();
        const now = this.ports.clock.monotonic();
        const seconds = (now - this.paceSince) / 1_000;
        const tokensPerSecond = seconds > 0 ? (tokens - this.paceTokens) / seconds : 0;
        this.paceSince = now;
        this.paceTokens = tokens;
        return { running, queued, kv_used: this.desk.cacheUse, tokens_per_second: tokensPerSecond, age_ms: 0 };
    }

    /** What it has done up to now. */
    stats(): EngineStats {
        return {
            id: this.id,
            address: this.listener ? formatAddress(this.listener.address) : "",
            state: this.state.current,
            lateRequests: this.state.lateRequests,
            orders: this.orders.orders.length,
            orderReversals: this.orders.countReversals(),
            ...this.desk.stats(),
        };
    }

    private async close(): Promise<void> {
        const closed = this.listener?.close();
        await this.lifecycle.close();
        await closed;
    }

    private async handle(req: HttpRequest, res: HttpResponse): Promise<void> {
        const body = await req.body(BODY_LIMIT_BYTES);
        if (body.isLeft()) return sendJson(res, 400, { error: "unreadable" });
        const bytes = body.extract() as Uint8Array;
        this.ports.keyWatch.inspect(req, bytes);
        await this.waitWhileFrozen();
        const path = req.path.split("?")[0];
        if (req.method !== "POST") return sendJson(res, 405, { error: "method" });
        if (path === ENGINE_PATHS.chat) return this.answerChat(bytes, req, res);
        if (path === ENGINE_PATHS.cancel) return this.answerCancel(bytes, res);
        if (path === ENGINE_PATHS.kvExport) return this.answerKvExport(bytes, res);
        if (path === ENGINE_PATHS.kvImport) return this.answerKvImport(bytes, res);
        if (path === ENGINE_PATHS.orders) return this.answerOrder(bytes, res);
        sendJson(res, 404, { error: "no such path" });
    }

    private async waitWhileFrozen(): Promise<void> {
        if (!this.isFrozen) return;
        await new Promise<void>(resolve => this.thaw.add(resolve));
    }

    private async answerChat(bytes: Uint8Array, req: HttpRequest, res: HttpResponse): Promise<void> {
        this.state.noteRequest();
        const parsed = parseJson(bytes, engineRequestSchema);
        if (parsed.isLeft()) return sendJson(res, 400, { error: String(parsed.extract()) });
        const body = parsed.unsafeCoerce();
        if (!this.pools.has(body.model)) return sendJson(res, 404, { error: `no model ${body.model}` });
        const fault = this.faults.take();
        if (fault?.kind === "refused") return sendJson(res, fault.status, { error: "refused on demand" });
        await this.desk.answer(body, req, res, fault);
    }

    private answerCancel(bytes: Uint8Array, res: HttpResponse): void {
        parseJson(bytes, engineCancelSchema).caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: ({ request_id }) => {
                this.desk.cancel(request_id);
                sendEmpty(res, 204);
            },
        });
    }

    private answerKvExport(bytes: Uint8Array, res: HttpResponse): void {
        parseJson(bytes, kvExportSchema).caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: ({ request_id }) =>
                this.desk.exportKv(request_id).caseOf({
                    Left: () => sendJson(res, 404, { error: "no such request" }),
                    Right: state => sendJson(res, 200, state),
                }),
        });
    }

    private answerKvImport(bytes: Uint8Array, res: HttpResponse): void {
        parseJson(bytes, kvStateSchema).caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: state => {
                this.desk.importKv(state);
                sendEmpty(res, 204);
            },
        });
    }

    private answerOrder(bytes: Uint8Array, res: HttpResponse): void {
        parseJson(bytes, engineOrderSchema).caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: order => this.takeOrder(order, res),
        });
    }

    private takeOrder(order: EngineOrder, res: HttpResponse): void {
        const status = this.orders.receive(
            { orderId: order.order_id, fencingToken: order.fencing_token, action: order.action, target: order.target },
            this.ports.clock.monotonic(),
        );
        if (status === "stale") return sendJson(res, 409, { error: "stale" });
        if (status === "fresh") this.obey(order);
        sendJson(res, 200, { order_id: order.order_id });
    }

    private obey(order: EngineOrder): void {
        if (order.action === "drain") {
            this.leave();
            return;
        }
        this.loaded.push(order.target);
        if (order.action === "load_model") this.pools.add(order.target);
        this.announcer.announce();
    }
}

function rethrow(err: unknown): never {
    throw err;
}
