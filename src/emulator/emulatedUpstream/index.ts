import { Lifecycle } from "../../lifecycle/index.js";
import { Address, DEFAULT_HTTP_LIMITS, formatAddress, HttpRequest, HttpResponse, Listener } from "../../ports/index.js";
import { Announcement, LEAVING_HEADER, LoadReport, REQUEST_LIMIT_HEADER } from "../../protocol/index.js";
import { EmulatorPorts } from "../_lib/emulatorPorts.js";
import { sendJson } from "../_lib/json.js";
import { StatementResponse } from "../_lib/statementResponse.js";
import { AnnouncementSource, Announcer, AnnouncerConfig } from "../announcer/index.js";
import { DEFAULT_SOFTWARE, UpstreamIdentity, UpstreamState } from "../upstreamState/index.js";

/** Config that all emulated upstreams have in common. */
export interface UpstreamConfig {
    readonly identity: UpstreamIdentity;
    /** Address to listen on; port 0 selects any free port. */
    readonly address: Address;
    readonly announcer: AnnouncerConfig;
}

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const DRAIN_POLL_INTERVAL_MS = 10;

/** Base of emulated engines and plain services: listens, announces itself, leaves, stops and crashes. */
export abstract class EmulatedUpstream implements AnnouncementSource {
    protected readonly lifecycle = new Lifecycle();
    protected readonly announcer: Announcer;
    protected readonly state: UpstreamState;
    private listener: Listener | undefined;
    private requestLimit: number | undefined;
    private retryAfter: string | undefined;
    private statesDeparture = false;
    private requestCount = 0;

    protected constructor(protected readonly ports: EmulatorPorts, private readonly config: UpstreamConfig) {
        this.state = new UpstreamState(ports.clock);
        this.announcer = new Announcer(ports, config.announcer, this);
    }

    protected abstract readonly kind: Announcement["kind"];
    /** Maximum number of concurrent requests. */
    protected abstract readonly slotCount: number;
    /** Models or service that it currently serves. */
    protected abstract readonly poolNames: readonly string[];
    /** Number of unfinished answers. */
    protected abstract readonly openAnswerCount: number;

    /** Answers one request. */
    protected abstract handle(body: Uint8Array, req: HttpRequest, res: HttpResponse): Promise<void> | void;

    /** Resets the connection of every unfinished answer. */
    protected abstract resetOpenAnswers(): void;

    abstract readLoad(): LoadReport;

    get id(): string {
        return this.config.identity.id;
    }

    /** Address that it listens on; empty before the start. */
    get address(): string {
        return this.listener ? formatAddress(this.listener.address) : "";
    }

    /**
     * Starts listening and announcing itself.
     *
     * @returns Address that it listens on.
     * @throws NetworkError if the address is in use.
     */
    async start(): Promise<Address> {
        this.listener = await this.ports.http.serve(
            this.config.address,
            DEFAULT_HTTP_LIMITS,
            (req, res) => this.handleRequest(req, res),
        );
        this.runTask(signal => this.announcer.run(signal));
        return this.listener.address;
    }

    /** Announces that it leaves: it expects no new requests, and finishes the open ones. */
    leave(): void {
        this.state.leave();
        this.announcer.announce();
    }

    /**
     * Announces that the platform reclaims it, and crashes when the notice has expired.
     *
     * @param noticeMs - Time until the reclaim, in milliseconds.
     */
    reclaim(noticeMs: number): void {
        this.state.leave(noticeMs);
        this.announcer.announce();
        const timer = this.ports.clock.after(noticeMs, () => void this.crash());
        this.lifecycle.addCleanUp(() => timer.cancel());
    }

    /** Stops gracefully: finishes all open answers, announces that it is gone, and closes. */
    async stop(): Promise<void> {
        this.leave();
        while (this.openAnswerCount > 0) await this.ports.clock.sleep(DRAIN_POLL_INTERVAL_MS);
        this.state.markGone();
        await this.announcer.announceToAll();
        await this.close();
    }

    /** Emulates a process crash: resets open answers, and stops at once without an announcement. */
    async crash(): Promise<void> {
        this.state.markGone();
        this.resetOpenAnswers();
        await this.close();
    }

    /** Sets the limit that its answers state, in requests per second; undefined: none. Requests beyond the limit are not refused. */
    advertiseRequestLimit(perSecond: number | undefined): void {
        this.requestLimit = perSecond;
        this.requestCount = 0;
    }

    /**
     * Turns all requests away with a 503 that carries `Retry-After`.
     *
     * @param retryAfter - Value of the header, in seconds; undefined: it serves requests again.
     */
    turnAway(retryAfter: string | undefined): void {
        this.retryAfter = retryAfter;
        this.requestCount = 0;
    }

    /** States in all its answers that it is about to end; its announcements go on as before. */
    stateDeparture(): void {
        this.statesDeparture = true;
        this.requestCount = 0;
    }

    /** Number of requests since what it states in its answers last changed. */
    get requestsSinceStatement(): number {
        return this.requestCount;
    }

    /** Replaces the entries to which it announces itself. */
    setEntries(entries: readonly Address[]): void {
        this.announcer.setEntries(entries);
    }

    /** Suspends or resumes announcements; requests are still served. */
    setMuted(muted: boolean): void {
        this.announcer.setMuted(muted);
    }

    describe(): ReturnType<AnnouncementSource["describe"]> {
        const { id, incarnation, zone, pricePerHour, reclaimable, checksFence, software } = this.config.identity;
        return {
            id,
            incarnation,
            state: this.state.current,
            kind: this.kind,
            pools: [...this.poolNames],
            zone,
            address: this.address,
            slots: this.slotCount,
            price_per_hour: pricePerHour,
            reclaimable,
            checks_fence: checksFence,
            software_version: software ?? DEFAULT_SOFTWARE,
            reclaim_in_ms: this.state.reclaimInMs(),
        };
    }

    /** Runs a task until the upstream stops or crashes. */
    protected runTask(task: (signal: AbortSignal) => Promise<void>): void {
        this.lifecycle.run(task, err => {
            throw err;
        });
    }

    private async close(): Promise<void> {
        const closed = this.listener?.close();
        await this.lifecycle.close();
        await closed;
    }

    private async handleRequest(req: HttpRequest, res: HttpResponse): Promise<void> {
        const body = await req.body(MAX_BODY_BYTES);
        if (body.isLeft()) return sendJson(res, 400, { error: "unreadable" });
        const bytes = body.extract() as Uint8Array;
        this.ports.keyWatch.inspect(req, bytes);
        this.requestCount++;
        const statedRes = new StatementResponse(res, this.statements());
        if (this.retryAfter === undefined) await this.handle(bytes, req, statedRes);
        else sendJson(statedRes, 503, { error: "overloaded" }, [["retry-after", this.retryAfter]]);
    }

    private statements(): [string, string][] {
        const headers: [string, string][] = [];
        if (this.requestLimit !== undefined) headers.push([REQUEST_LIMIT_HEADER, String(this.requestLimit)]);
        if (this.statesDeparture) headers.push([LEAVING_HEADER, "1"]);
        return headers;
    }
}
