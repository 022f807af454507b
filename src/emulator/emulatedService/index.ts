import PQueue from "p-queue";
import { HttpRequest, HttpResponse } from "../../ports/index.js";
import { Announcement, LoadReport, REQUEST_ID_HEADER } from "../../protocol/index.js";
import { EmulatorPorts } from "../_lib/emulatorPorts.js";
import { sendJson } from "../_lib/json.js";
import { hasCrashHint } from "../crashHint/index.js";
import { EmulatedUpstream, UpstreamConfig } from "../emulatedUpstream/index.js";
import { digestBody, RunLedger } from "../runLedger/index.js";
import { ServiceFault } from "../serviceFaults/index.js";

/** Config of an emulated plain service. */
export interface ServiceConfig extends UpstreamConfig {
    /** Maximum number of concurrent calls; the others are queued. */
    readonly slots: number;
    /** Minimum duration of a call, in milliseconds. */
    readonly minLatencyMs: number;
    /** Maximum duration of a call, in milliseconds. */
    readonly maxLatencyMs: number;
}

/** Statistics of an emulated service. */
export interface ServiceStats {
    readonly id: string;
    readonly address: string;
    readonly state: Announcement["state"];
    /** Calls run. */
    readonly calls: number;
    readonly running: number;
    readonly queued: number;
    /** Calls that arrived more than 2 s after the service announced that it leaves. */
    readonly lateRequests: number;
}

/** Answer to a call. */
export interface ServiceAnswer {
    /** Digest of the call's body. */
    readonly confirmed: string;
    /** Number of runs of this call on all instances together, this one included. */
    readonly run: number;
}

/**
 * Emulates a plain HTTP service whose calls must not be repeated. Records each run, so that duplicate runs are detected.
 *
 * @example
 * const service = new EmulatedService(ports, ledger, cfg);
 * const address = await service.start();
 */
export class EmulatedService extends EmulatedUpstream {
    protected readonly kind = "service";
    private readonly callQueue: PQueue;
    private readonly faults: ServiceFault[] = [];
    private readonly openResponses = new Set<HttpResponse>();
    private callCount = 0;

    /**
     * @param ports - Clock, random numbers, HTTP and key watch.
     * @param ledger - Records runs; shared by all instances.
     * @param cfg - Identity, address, slots, latency and announcements.
     */
    constructor(ports: EmulatorPorts, private readonly ledger: RunLedger, private readonly cfg: ServiceConfig) {
        super(ports, cfg);
        this.callQueue = new PQueue({ concurrency: cfg.slots });
    }

    /** Adds faults for the next calls; each call removes the first one. */
    addFaults(...faults: ServiceFault[]): void {
        this.faults.push(...faults);
    }

    readLoad(): LoadReport {
        return {
            running: this.callQueue.pending,
            queued: this.callQueue.size,
            kv_used: 0,
            tokens_per_second: 0,
            age_ms: 0,
        };
    }

    /** Returns its statistics so far. */
    stats(): ServiceStats {
        return {
            id: this.id,
            address: this.address,
            state: this.state.current,
            calls: this.callCount,
            running: this.callQueue.pending,
            queued: this.callQueue.size,
            lateRequests: this.state.lateRequests,
        };
    }

    protected get slotCount(): number {
        return this.cfg.slots;
    }

    protected get poolNames(): readonly string[] {
        return this.cfg.identity.pools;
    }

    protected get openAnswerCount(): number {
        return this.openResponses.size;
    }

    protected resetOpenAnswers(): void {
        // A crashed process does not run its queued calls either.
        this.callQueue.clear();
        for (const res of this.openResponses) res.reset();
    }

    protected async handle(bytes: Uint8Array, req: HttpRequest, res: HttpResponse): Promise<void> {
        this.state.recordRequest();
        this.openResponses.add(res);
        await this.callQueue.add(() => this.run(bytes, req, res));
        this.openResponses.delete(res);
    }

    private async run(bytes: Uint8Array, req: HttpRequest, res: HttpResponse): Promise<void> {
        const fault = this.faults.shift();
        if (fault?.kind === "refused") return sendJson(res, fault.status, { error: "refused on demand" });
        this.callCount++;
        const confirmed = digestBody(bytes);
        const run = this.ledger.record(this.cfg.identity.pools[0], confirmed);
        await this.ports.clock.sleep(this.ports.random.between(this.cfg.minLatencyMs, this.cfg.maxLatencyMs));
        if (hasCrashHint(Buffer.from(bytes).toString())) return this.crash();
        if (fault?.kind === "late") await this.ports.clock.sleep(fault.delayMs);
        if (fault?.kind === "lost") return res.reset();
        if (fault?.kind === "silent") return;
        const ownId = req.headers.find(([name]) => name === REQUEST_ID_HEADER)?.[1] ?? "";
        if (fault?.kind === "failed") {
            return sendJson(res, fault.status, { error: "failed on demand" }, [[REQUEST_ID_HEADER, ownId]]);
        }
        const id = fault?.kind === "crossed" ? fault.id : ownId;
        sendJson(res, 200, { confirmed, run } satisfies ServiceAnswer, [[REQUEST_ID_HEADER, id]]);
    }
}
