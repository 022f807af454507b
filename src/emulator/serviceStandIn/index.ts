import PQueue from "p-queue";
import { Lifecycle } from "../../lifecycle/index.js";
import { Address, DEFAULT_HTTP_LIMITS, formatAddress, HttpRequest, HttpResponse, Listener } from "../../ports/index.js";
import { Announcement, LoadReport, REQUEST_ID_HEADER } from "../../protocol/index.js";
import { sendJson } from "../_lib/json.js";
import { StandInPorts } from "../_lib/standInPorts.js";
import { AnnouncedUpstream, Announcer, AnnouncerConfig } from "../announcer/index.js";
import { digestBody, RunLedger } from "../runLedger/index.js";
import { ServiceFault } from "../serviceFaults/index.js";
import { UpstreamIdentity, UpstreamState } from "../upstreamState/index.js";

/** What one stand-in of a plain service is like. */
export interface ServiceConfig {
    readonly identity: UpstreamIdentity;
    /** Where it listens; port 0 means any free one. */
    readonly address: Address;
    /** How many calls it runs at once; the others wait. */
    readonly slots: number;
    /** How long a call runs, in milliseconds: at least, and at most. */
    readonly minLatencyMs: number;
    readonly maxLatencyMs: number;
    readonly announcer: AnnouncerConfig;
}

/** What a service has done up to now. */
export interface ServiceStats {
    readonly id: string;
    readonly address: string;
    readonly state: Announcement["state"];
    readonly calls: number;
    readonly running: number;
    readonly queued: number;
    readonly lateRequests: number;
}

/** The answer to a call: what ran, and how often it has run on all instances together. */
export interface ServiceAnswer {
    readonly confirmed: string;
    readonly run: number;
}

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const DRAIN_POLL_MS = 10;

/**
 * A plain HTTP service whose calls may not be repeated: each run is recorded, so that a doubled one shows.
 *
 * @example
 * const service = new ServiceStandIn(ports, ledger, cfg);
 * const address = await service.start();
 */
export class ServiceStandIn implements AnnouncedUpstream {
    private readonly lifecycle = new Lifecycle();
    private readonly announcer: Announcer;
    private readonly state: UpstreamState;
    private readonly queue: PQueue;
    private readonly faults: ServiceFault[] = [];
    private readonly open = new Set<HttpResponse>();
    private listener: Listener | undefined;
    private calls = 0;

    /**
     * @param ports - What it runs on.
     * @param ledger - Where runs are recorded; shared by all instances.
     * @param cfg - What it is like.
     */
    constructor(
        private readonly ports: StandInPorts,
        private readonly ledger: RunLedger,
        private readonly cfg: ServiceConfig,
    ) {
        this.state = new UpstreamState(ports.clock);
        this.announcer = new Announcer(ports, cfg.announcer, this);
        this.queue = new PQueue({ concurrency: cfg.slots });
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
        this.lifecycle.run(signal => this.announcer.run(signal), err => {
            throw err;
        });
        return this.listener.address;
    }

    /** Adds faults for the next calls: each call takes one. */
    addFaults(...faults: ServiceFault[]): void {
        this.faults.push(...faults);
    }

    /** Changes which entries are told of it. */
    setEntries(entries: readonly Address[]): void {
        this.announcer.setEntries(entries);
    }

    /** Says that it leaves: it expects no new work, and finishes what it has. */
    leave(): void {
        this.state.leave();
        this.announcer.announce();
    }

    /** Stops as planned: cuts nothing, says the last word, and closes. */
    async stop(): Promise<void> {
        this.leave();
        while (this.open.size > 0) await this.ports.clock.sleep(DRAIN_POLL_MS);
        this.state.markGone();
        await this.announcer.announceToAll();
        await this.close();
    }

    /** Dies at once: open connections are reset, and nothing is announced any more. */
    async crash(): Promise<void> {
        this.state.markGone();
        for (const res of this.open) res.reset();
        await this.close();
    }

    describe(): ReturnType<AnnouncedUpstream["describe"]> {
        const { identity, slots } = this.cfg;
        return {
            id: identity.id,
            incarnation: identity.incarnation,
            state: this.state.current,
            kind: "service",
            pools: [...identity.pools],
            zone: identity.zone,
            address: formatAddress(this.listener!.address),
            slots,
            price_per_hour: identity.pricePerHour,
            reclaimable: identity.reclaimable,
            checks_fence: identity.checksFence,
        };
    }

    readLoad(): LoadReport {
        return { running: this.queue.pending, queued: this.queue.size, kv_used: 0, tokens_per_second: 0, age_ms: 0 };
    }

    /** What it has done up to now. */
    stats(): ServiceStats {
        return {
            id: this.id,
            address: this.listener ? formatAddress(this.listener.address) : "",
            state: this.state.current,
            calls: this.calls,
            running: this.queue.pending,
            queued: this.queue.size,
            lateRequests: this.state.lateRequests,
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
        this.state.noteRequest();
        this.open.add(res);
        await this.queue.add(() => this.run(bytes, req, res));
        this.open.delete(res);
    }

    private async run(bytes: Uint8Array, req: HttpRequest, res: HttpResponse): Promise<void> {
        const fault = this.faults.shift();
        if (fault?.kind === "refused") return sendJson(res, fault.status, { error: "refused on demand" });
        this.calls++;
        const confirmed = digestBody(bytes);
        const run = this.ledger.record(this.cfg.identity.pools[0], confirmed);
        await this.ports.clock.sleep(this.ports.random.between(this.cfg.minLatencyMs, this.cfg.maxLatencyMs));
        if (fault?.kind === "late") await this.ports.clock.sleep(fault.delayMs);
        if (fault?.kind === "lost") return res.reset();
        if (fault?.kind === "silent") return;
        const ownId = req.headers.find(([name]) => name === REQUEST_ID_HEADER)?.[1] ?? "";
        const id = fault?.kind === "crossed" ? fault.id : ownId;
        sendJson(res, 200, { confirmed, run } satisfies ServiceAnswer, [[REQUEST_ID_HEADER, id]]);
    }
}
