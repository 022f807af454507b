import { Lifecycle } from "../../lifecycle/index.js";
import { Address, DEFAULT_HTTP_LIMITS, HttpRequest, HttpResponse, Listener } from "../../ports/index.js";
import { Offer, PLATFORM_PATHS, PlatformOrder, platformOrderSchema, usageReportSchema } from "../../protocol/index.js";
import { parseJson, sendJson } from "../_lib/json.js";
import { StandInPorts } from "../_lib/standInPorts.js";
import { Fleet } from "../fleet/index.js";
import { OrderError, OrderReceiver, OrderStats } from "../orderReceiver/index.js";
import { UsageReceiver, UsageStats } from "../usageReceiver/index.js";
import { WeightStore, WeightStoreConfig } from "../weightStore/index.js";

/** What the stand-in of the platform is like. */
export interface PlatformConfig {
    /** Where it listens; port 0 means any free one. */
    readonly address: Address;
    readonly offers: readonly Offer[];
    /** Whether it refuses orders and reports with an old fencing token. */
    readonly checksFence: boolean;
    readonly weights: WeightStoreConfig;
    /** Size of each weight file, in bytes. */
    readonly weightBytes: number;
}

/** What the platform has seen up to now. */
export interface PlatformStats {
    readonly orders: OrderStats;
    readonly usage: UsageStats;
    readonly weights: ReturnType<WeightStore["stats"]>;
}

/**
 * A fault in the answer to one order or usage report.
 * - `lost`: it is obeyed, and its connection is reset before the answer.
 * - `late`: it is obeyed, and its answer is late.
 * - `held`: it is obeyed late, after its sender may have given up.
 * - `busy`: it is refused with 429.
 */
export type PlatformFault =
    | { readonly kind: "lost"; }
    | { readonly kind: "late" | "held"; readonly delayMs: number; }
    | { readonly kind: "busy"; readonly retryAfterSeconds: number; };

interface Reply {
    readonly status: number;
    readonly body: unknown;
}

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const ORDER_ERROR_STATUS = { "stale": 409, "no-offer": 404, "unavailable": 409, "unknown-upstream": 404 } as const;

/**
 * The platform in small: offers and orders by availability zone, usage reports, and a weight store with a rate limit.
 *
 * @example
 * const platform = new PlatformStandIn(ports, fleet, cfg);
 * const address = await platform.start();
 */
export class PlatformStandIn {
    /** Orders received. */
    readonly orders: OrderReceiver;
    /** Usage reports received. */
    readonly usage: UsageReceiver;
    private readonly weights: WeightStore;
    private readonly lifecycle = new Lifecycle();
    private readonly faults: PlatformFault[] = [];
    private listener: Listener | undefined;

    /**
     * @param ports - What it runs on.
     * @param fleet - Starts and stops the upstreams that are ordered.
     * @param cfg - What it is like.
     */
    constructor(private readonly ports: StandInPorts, fleet: Fleet, private readonly cfg: PlatformConfig) {
        this.orders = new OrderReceiver(ports.clock, fleet, cfg.offers, cfg.checksFence);
        this.usage = new UsageReceiver(cfg.checksFence);
        this.weights = new WeightStore(ports.clock, cfg.weights);
    }

    /**
     * Listens.
     *
     * @returns The address it listens on.
     * @throws NetworkError when the address is taken.
     */
    async start(): Promise<Address> {
        const { http } = this.ports;
        this.listener = await http.serve(this.cfg.address, DEFAULT_HTTP_LIMITS, (req, res) => this.handle(req, res));
        this.lifecycle.own(() => this.listener!.close());
        return this.listener.address;
    }

    /** Adds faults for the next orders and reports: each takes one. */
    addFaults(...faults: PlatformFault[]): void {
        this.faults.push(...faults);
    }

    /** Stops listening. */
    async close(): Promise<void> {
        await this.lifecycle.close();
    }

    /** What it has seen up to now. */
    stats(): PlatformStats {
        return { orders: this.orders.stats(), usage: this.usage.stats(), weights: this.weights.stats() };
    }

    private async handle(req: HttpRequest, res: HttpResponse): Promise<void> {
        const body = await req.body(BODY_LIMIT_BYTES);
        if (body.isLeft()) return sendJson(res, 400, { error: "unreadable" });
        const bytes = body.extract() as Uint8Array;
        this.ports.keyWatch.inspect(req, bytes);
        const path = req.path.split("?")[0];
        if (req.method === "GET") return this.answerGet(path, res);
        if (path === PLATFORM_PATHS.orders) return this.answerPost(res, () => this.takeOrder(bytes));
        if (path === PLATFORM_PATHS.usageReports) return this.answerPost(res, () => this.takeReport(bytes));
        sendJson(res, 404, { error: "no such path" });
    }

    private answerGet(path: string, res: HttpResponse): void {
        if (path === PLATFORM_PATHS.offers) return sendJson(res, 200, this.orders.list());
        if (!path.startsWith(PLATFORM_PATHS.weights)) return sendJson(res, 404, { error: "no such path" });
        const waitMs = this.weights.ask();
        if (waitMs > 0) {
            const seconds = String(Math.ceil(waitMs / 1_000));
            return sendJson(res, 429, { error: "busy" }, [["retry-after", seconds]]);
        }
        res.head(200, [["content-type", "application/octet-stream"]]);
        res.end(new Uint8Array(this.cfg.weightBytes));
    }

    private async answerPost(res: HttpResponse, take: () => Reply): Promise<void> {
        const fault = this.faults.shift();
        if (fault?.kind === "busy") {
            return sendJson(res, 429, { error: "busy" }, [["retry-after", String(fault.retryAfterSeconds)]]);
        }
        if (fault?.kind === "held") await this.ports.clock.sleep(fault.delayMs);
        const reply = take();
        if (fault?.kind === "late") await this.ports.clock.sleep(fault.delayMs);
        if (fault?.kind === "lost") return res.reset();
        sendJson(res, reply.status, reply.body);
    }

    private takeOrder(bytes: Uint8Array): Reply {
        return parseJson(bytes, platformOrderSchema).caseOf<Reply>({
            Left: err => ({ status: 400, body: { error: err.message } }),
            Right: order => this.obey(order),
        });
    }

    private obey(order: PlatformOrder): Reply {
        try {
            return { status: 200, body: this.orders.obey(order) };
        }
        catch (err) {
            if (!(err instanceof OrderError)) throw err;
            return { status: ORDER_ERROR_STATUS[err.reason], body: { error: err.reason } };
        }
    }

    private takeReport(bytes: Uint8Array): Reply {
        return parseJson(bytes, usageReportSchema.loose()).caseOf<Reply>({
            Left: err => ({ status: 400, body: { error: err.message } }),
            Right: report =>
                this.usage.receive(report, this.ports.clock.monotonic())
                    ? { status: 200, body: { report_id: report.report_id } }
                    : { status: 409, body: { error: "stale" } },
        });
    }
}
