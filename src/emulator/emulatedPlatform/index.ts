import { Lifecycle } from "../../lifecycle/index.js";
import { Address, DEFAULT_HTTP_LIMITS, HttpRequest, HttpResponse, Listener } from "../../ports/index.js";
import { Offer, PLATFORM_PATHS, PlatformOrder, platformOrderSchema, usageReportSchema } from "../../protocol/index.js";
import { EmulatorPorts } from "../_lib/emulatorPorts.js";
import { parseJson, sendJson } from "../_lib/json.js";
import { OrderError, OrderReceiver, OrderStats } from "../orderReceiver/index.js";
import { UpstreamProvisioner } from "../upstreamProvisioner/index.js";
import { UsageReceiver, UsageStats } from "../usageReceiver/index.js";
import { WeightStore, WeightStoreConfig } from "../weightStore/index.js";

/** Config of the emulated platform. */
export interface PlatformConfig {
    /** Address to listen on; port 0 selects any free port. */
    readonly address: Address;
    /** Initial offers of upstreams. */
    readonly offers: readonly Offer[];
    /** Whether it refuses orders and usage reports with an old fencing token. */
    readonly checksFence: boolean;
    /** Rate limit of the weight store. */
    readonly weights: WeightStoreConfig;
    /** Size of each weight file, in bytes. */
    readonly weightBytes: number;
}

/** Statistics of the emulated platform. */
export interface PlatformStats {
    readonly orders: OrderStats;
    readonly usage: UsageStats;
    readonly weights: ReturnType<WeightStore["stats"]>;
}

/**
 * Fault to inject into the answer to one order or usage report.
 * - `lost`: it is processed, and the connection is reset before the answer.
 * - `late`: it is processed at once, and the answer is delayed.
 * - `held`: its processing is delayed, so that the sender may have given up before.
 * - `busy`: it is refused with status 429.
 */
export type PlatformFault =
    | { readonly kind: "lost"; }
    | { readonly kind: "late" | "held"; readonly delayMs: number; }
    | { readonly kind: "busy"; readonly retryAfterSeconds: number; };

interface Reply {
    readonly status: number;
    readonly body: unknown;
}

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const ORDER_ERROR_STATUS = { "stale": 409, "no-offer": 404, "unavailable": 409, "unknown-upstream": 404 } as const;

/**
 * Emulates the platform: offers and orders by availability zone, usage reports, and a weight store with a rate limit.
 *
 * @example
 * const platform = new EmulatedPlatform(ports, provisioner, cfg);
 * const address = await platform.start();
 */
export class EmulatedPlatform {
    /** Orders received. */
    readonly orders: OrderReceiver;
    /** Usage reports received. */
    readonly usage: UsageReceiver;
    private readonly weightStore: WeightStore;
    private readonly lifecycle = new Lifecycle();
    private readonly faults: PlatformFault[] = [];
    private listener: Listener | undefined;

    /**
     * @param ports - Clock, HTTP and key watch.
     * @param provisioner - Starts and stops the upstreams of the orders.
     * @param cfg - Address, offers, fencing check and weight store.
     */
    constructor(
        private readonly ports: EmulatorPorts,
        provisioner: UpstreamProvisioner,
        private readonly cfg: PlatformConfig,
    ) {
        this.orders = new OrderReceiver(ports.clock, provisioner, cfg.offers, cfg.checksFence);
        this.usage = new UsageReceiver(cfg.checksFence);
        this.weightStore = new WeightStore(ports.clock, cfg.weights);
    }

    /**
     * Starts listening.
     *
     * @returns Address that it listens on.
     * @throws NetworkError if the address is in use.
     */
    async start(): Promise<Address> {
        const { http } = this.ports;
        this.listener = await http.serve(this.cfg.address, DEFAULT_HTTP_LIMITS, (req, res) => this.handle(req, res));
        this.lifecycle.addCleanUp(() => this.listener!.close());
        return this.listener.address;
    }

    /** Adds faults for the next orders and usage reports; each of these removes the first one. */
    addFaults(...faults: PlatformFault[]): void {
        this.faults.push(...faults);
    }

    /** Stops listening. */
    async close(): Promise<void> {
        await this.lifecycle.close();
    }

    /** Returns the statistics so far. */
    stats(): PlatformStats {
        return { orders: this.orders.stats(), usage: this.usage.stats(), weights: this.weightStore.stats() };
    }

    private async handle(req: HttpRequest, res: HttpResponse): Promise<void> {
        const body = await req.body(MAX_BODY_BYTES);
        if (body.isLeft()) return sendJson(res, 400, { error: "unreadable" });
        const bytes = body.extract() as Uint8Array;
        this.ports.keyWatch.inspect(req, bytes);
        const path = req.path.split("?")[0];
        if (req.method === "GET") return this.handleGet(path, res);
        if (path === PLATFORM_PATHS.orders) return this.handlePost(res, () => this.receiveOrder(bytes));
        if (path === PLATFORM_PATHS.usageReports) return this.handlePost(res, () => this.receiveReport(bytes));
        sendJson(res, 404, { error: "no such path" });
    }

    private handleGet(path: string, res: HttpResponse): void {
        if (path === PLATFORM_PATHS.offers) return sendJson(res, 200, this.orders.listOffers());
        if (!path.startsWith(PLATFORM_PATHS.weights)) return sendJson(res, 404, { error: "no such path" });
        const waitMs = this.weightStore.tryFetch();
        if (waitMs > 0) {
            const seconds = String(Math.ceil(waitMs / 1_000));
            return sendJson(res, 429, { error: "busy" }, [["retry-after", seconds]]);
        }
        res.head(200, [["content-type", "application/octet-stream"]]);
        res.end(new Uint8Array(this.cfg.weightBytes));
    }

    private async handlePost(res: HttpResponse, makeReply: () => Reply): Promise<void> {
        const fault = this.faults.shift();
        if (fault?.kind === "busy") {
            return sendJson(res, 429, { error: "busy" }, [["retry-after", String(fault.retryAfterSeconds)]]);
        }
        if (fault?.kind === "held") await this.ports.clock.sleep(fault.delayMs);
        const reply = makeReply();
        if (fault?.kind === "late") await this.ports.clock.sleep(fault.delayMs);
        if (fault?.kind === "lost") return res.reset();
        sendJson(res, reply.status, reply.body);
    }

    private receiveOrder(bytes: Uint8Array): Reply {
        return parseJson(bytes, platformOrderSchema).caseOf<Reply>({
            Left: err => ({ status: 400, body: { error: err.message } }),
            Right: order => this.executeOrder(order),
        });
    }

    private executeOrder(order: PlatformOrder): Reply {
        try {
            return { status: 200, body: this.orders.execute(order) };
        }
        catch (err) {
            if (!(err instanceof OrderError)) throw err;
            return { status: ORDER_ERROR_STATUS[err.reason], body: { error: err.reason } };
        }
    }

    private receiveReport(bytes: Uint8Array): Reply {
        return parseJson(bytes, usageReportSchema.loose()).caseOf<Reply>({
            Left: err => ({ status: 400, body: { error: err.message } }),
            Right: report =>
                this.usage.receive(report, this.ports.clock.monotonic())
                    ? { status: 200, body: { report_id: report.report_id } }
                    : { status: 409, body: { error: "stale" } },
        });
    }
}
