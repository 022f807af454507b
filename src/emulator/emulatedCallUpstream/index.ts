import { CACHE_PATH, CALL_HEADERS } from "../../passthrough/index.js";
import {
    Address,
    Clock,
    decodeHeaderText,
    encodeHeaderText,
    findHeader,
    HeaderList,
    Http,
    HttpRequest,
    HttpResponse,
    Listener,
} from "../../ports/index.js";
import { DEFAULT_HTTP_LIMITS, formatAddress } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";
import { PromptPart } from "../../upstream/index.js";
import { CallEngine, CallEngineOptions, EnginePreemption, EngineRun } from "../callEngine/index.js";
import { DEFAULT_SOFTWARE } from "../upstreamState/index.js";

/** Fault to inject into the answer of a call. */
export type CallFault =
    /** Runs the call and resets the connection before the answer. */
    | "lost"
    /** Runs the call and answers with status 500. */
    | "error"
    /** Refuses the call without running it. */
    | "refuse"
    /** Resets the connection in the middle of an event, after the first complete events. */
    | "break"
    /** Sends garbage in place of an event, behind the first complete events, and goes on to a correct end. */
    | "garble"
    /** Sends a stream from its first event on, whichever event it was asked to begin behind. */
    | "begin-anew"
    /** Answers with the id of another call. */
    | "crossed";

/** A call that an emulated upstream began to run. */
export interface CallRun {
    readonly request: string;
    readonly workspace: string | undefined;
    readonly path: string;
    readonly body: string;
    readonly headers: readonly (readonly [string, string])[];
    /** Start of the run, in milliseconds on the monotonic clock. */
    readonly at: number;
    /** Its end by a whole answer or with its connection; undefined while it runs. Recorded for runs without an engine. */
    end?: CallRunEnd;
}

/** How the run of a call ended. */
export interface CallRunEnd {
    /** In milliseconds on the monotonic clock. */
    readonly at: number;
    /** Whether the whole answer was handed to the connection. */
    readonly isWhole: boolean;
}

/** A request that reached an emulated upstream, whether it ran it or not. */
export interface Arrival {
    readonly request: string;
    readonly path: string;
    /** IP address of the sender. */
    readonly from: string;
    /** Time of arrival, in milliseconds on the monotonic clock. */
    readonly at: number;
    /** The run of the upstream that it reached. */
    readonly incarnation: number;
    /** `Retry-After` of the answer, in seconds, if it was turned away with one. */
    readonly retryAfter: string | undefined;
    /** Whether the answer states that the upstream is about to end. */
    readonly statesDeparture: boolean;
}

/** Options of an emulated upstream for routed calls. */
export interface EmulatedCallUpstreamOptions {
    readonly clock: Clock;
    readonly http: Http;
    readonly id: string;
    readonly address: Address;
    readonly pool: string;
    readonly zone: string;
    readonly slots: number;
    /** Duration of a call before its answer, in milliseconds. */
    readonly workMs: number;
    /** Number of events in a streamed answer, unless the body of the call has `[events=N]`; 0 for plain answers. */
    readonly events: number;
    /** Number of bytes by which each event is longer; 0 by default. */
    readonly eventPadding?: number;
    /** Pause between two events, in milliseconds. */
    readonly gapMs: number;
    /** Prompt parts that are in its cache from the start. */
    readonly holds?: readonly PromptPart[];
    /** Time after the start during which it is cold, in milliseconds. */
    readonly coldMs?: number;
    /** Body of calls that crash the upstream while it runs them, before the answer; undefined: no call does. */
    readonly crashesOn?: string;
    /** Ids of prompt parts that crash the upstream as it begins to answer a call whose prompt has one of them, but not as its last part. */
    readonly crashesOnParts?: readonly string[];
    /** Time from a crash to the restart, in milliseconds; undefined: it doesn't restart. */
    readonly restartMs?: number;
    /** Version of its software, which it announces and states in each event; "1.0" by default, undefined for none. */
    readonly software?: string;
    /** Streams calls as a model engine does, with slots, a waiting list and memory; undefined: each call takes `workMs` for itself. */
    readonly engine?: CallEngineOptions;
}

const MS_PER_SECOND = 1_000;
const MAX_BODY_BYTES = 16 * 1024 * 1024;
const BREAK_AFTER_EVENTS = 2;
const GARBAGE = "q8Zx\n\n";
const EVENTS_PATTERN = /\[events=(\d+)\]/;

/**
 * Emulates an upstream that receives routed calls with the router's own headers: answers, streams resumable events and fails on demand.
 * Records the calls that it ran, so that tests can find calls that ran twice or for the wrong workspace.
 *
 * @example
 * const upstream = await EmulatedCallUpstream.start(options);
 * upstream.faults.push("lost");
 */
export class EmulatedCallUpstream {
    /** Calls that ran, in order. */
    readonly runs: CallRun[] = [];
    /** All requests that reached it, in order. */
    readonly arrivals: Arrival[] = [];
    /** Faults for the next calls; each call removes the first one. */
    readonly faults: CallFault[] = [];
    /** Token counts of the cached prompt parts, by part id. */
    private readonly cachedPartTokens = new Map<string, number>();
    private announcementSequence = 0;
    private coldUntilMs = 0;
    private silentUntilMs = 0;
    private rejectionLimit: number | undefined;
    private room: number;
    /** Times at which it turned calls away for want of room, in milliseconds on the monotonic clock. */
    private rejections: number[] = [];
    private requestLimit: number | undefined;
    private retryAfter: string | undefined;
    private isTurnedAway: (from: string) => boolean = () => true;
    private isLeaving = false;
    private incarnation = 1;
    private software: string | undefined;
    private readonly openResponses = new Set<HttpResponse>();
    /** The engine of each incarnation, the current one last; empty where it is no engine. */
    private readonly engines: CallEngine[] = [];
    private listener: Listener | undefined;
    /** Number of crashes because it had to turn away too many calls. */
    falls = 0;
    /** Times of its crashes, in milliseconds on the monotonic clock. */
    readonly crashes: number[] = [];

    private constructor(private readonly options: EmulatedCallUpstreamOptions) {
        this.room = options.slots;
        this.software = "software" in options ? options.software : DEFAULT_SOFTWARE;
        for (const { id, tokens } of options.holds ?? []) this.cachedPartTokens.set(id, tokens);
        if (options.engine) this.engines.push(new CallEngine(options.clock, options.engine));
        this.becomeCold(options.coldMs ?? 0);
    }

    static async start(options: EmulatedCallUpstreamOptions): Promise<EmulatedCallUpstream> {
        const upstream = new EmulatedCallUpstream(options);
        await upstream.listen();
        return upstream;
    }

    /** Whether it listens; false after a crash until the restart, and after `close`. */
    get isUp(): boolean {
        return this.listener !== undefined;
    }

    /** What its engine did with each call, over all incarnations. */
    get engineRuns(): readonly EngineRun[] {
        return this.engines.flatMap(({ runs }) => runs);
    }

    /** Calls that its engine put back, over all incarnations. */
    get preemptions(): readonly EnginePreemption[] {
        return this.engines.flatMap(({ preemptions }) => preemptions);
    }

    /** Returns its next announcement. */
    announce(state: Announcement["state"] = "ready"): Announcement {
        const { id, pool, zone, address, slots } = this.options;
        const { runningCount: running = 0, waitingCount: queued = 0 } = this.engines.at(-1) ?? {};
        const load = { running, queued, kv_used: 0, tokens_per_second: 0, age_ms: 0 };
        const coldMs = this.coldUntilMs - this.options.clock.monotonic();
        return {
            id,
            zone,
            slots,
            state,
            load,
            incarnation: this.incarnation,
            sequence: ++this.announcementSequence,
            kind: "service",
            pools: [pool],
            address: formatAddress(address),
            price_per_hour: 0,
            reclaimable: false,
            checks_fence: false,
            ...(this.software === undefined ? {} : { software_version: this.software }),
            ...(coldMs > 0 ? { cold_ms: coldMs } : {}),
        };
    }

    /** Replaces its software, starting with its next incarnation or, for a faulty upstream, its next announcement. */
    replaceSoftware(software: string | undefined): void {
        this.software = software;
    }

    /** Makes it cold for the given time, starting with its next announcement. */
    becomeCold(ms: number): void {
        this.coldUntilMs = this.options.clock.monotonic() + ms;
    }

    /** Sets the limit that its answers state, in requests per second; undefined: none. Requests beyond the limit are not refused. */
    advertiseRequestLimit(perSecond: number | undefined): void {
        this.requestLimit = perSecond;
    }

    /**
     * Turns calls away with a 503 that carries `Retry-After`.
     *
     * @param retryAfter - Value of the header, in seconds; undefined: it runs calls again.
     * @param isTurnedAway - Whether a call from an IP address is turned away; all by default.
     */
    turnAway(retryAfter: string | undefined, isTurnedAway: (from: string) => boolean = () => true): void {
        this.retryAfter = retryAfter;
        this.isTurnedAway = isTurnedAway;
    }

    /**
     * Becomes brittle: it states how many calls it can turn away within a second, has room for fewer calls than slots, and crashes when it
     * has to turn away more.
     *
     * @param rejectionLimit - The number that its answers state; undefined: it is no longer brittle.
     * @param room - Number of calls that it takes at a time.
     */
    becomeBrittle(rejectionLimit: number | undefined, room = this.options.slots): void {
        this.rejectionLimit = rejectionLimit;
        this.room = rejectionLimit === undefined ? this.options.slots : room;
    }

    /** Sends nothing for a time, in milliseconds, and goes on after it. */
    fallSilent(ms: number): void {
        this.silentUntilMs = this.options.clock.monotonic() + ms;
    }

    /** States in all its answers that it is about to end; its announcements go on as before. */
    stateDeparture(): void {
        this.isLeaving = true;
    }

    async close(): Promise<void> {
        const { listener } = this;
        this.engines.at(-1)?.stop();
        this.listener = undefined;
        await listener?.close();
    }

    /** Emulates a process crash: resets open answers and refuses new connections until the restart. */
    async crash(): Promise<void> {
        const { clock, restartMs } = this.options;
        this.crashes.push(clock.monotonic());
        for (const res of this.openResponses) res.reset();
        this.openResponses.clear();
        await this.close();
        if (restartMs !== undefined) clock.after(restartMs, () => void this.restart());
    }

    private async listen(): Promise<void> {
        const { http, address } = this.options;
        this.listener = await http.serve(address, DEFAULT_HTTP_LIMITS, (req, res) => this.handle(req, res));
    }

    private async restart(): Promise<void> {
        this.incarnation++;
        this.isLeaving = false;
        this.retryAfter = undefined;
        this.announcementSequence = 0;
        this.cachedPartTokens.clear();
        const { engine, clock } = this.options;
        if (engine) this.engines.push(new CallEngine(clock, engine));
        await this.listen();
    }

    private async handle(req: HttpRequest, res: HttpResponse): Promise<void> {
        const request = findHeader(req.headers, CALL_HEADERS.request) ?? "";
        const retryAfter = this.isTurnedAway(req.remote) ? this.retryAfter : undefined;
        this.arrivals.push({
            request,
            path: req.path,
            from: req.remote,
            at: this.options.clock.monotonic(),
            incarnation: this.incarnation,
            retryAfter,
            statesDeparture: this.isLeaving,
        });
        const expected = decodeHeaderText(findHeader(req.headers, CALL_HEADERS.upstream) ?? "");
        if (expected !== this.options.id) return this.sendNotRun(res, request, 421);
        if (req.path === CACHE_PATH) return this.sendCachedParts(res);
        if (retryAfter !== undefined) return this.sendNotRun(res, request, 503, [["retry-after", retryAfter]]);
        const fault = this.faults.shift();
        if (fault === "refuse") return this.sendNotRun(res, request, 503);
        const engine = this.engines.at(-1);
        if (engine ? engine.isFull : this.openResponses.size >= this.room) return this.reject(res, request);
        const body = (await req.body(MAX_BODY_BYTES)).map(bytes => Buffer.from(bytes).toString()).orDefault("");
        const workspaceHeader = findHeader(req.headers, CALL_HEADERS.workspace);
        const workspace = workspaceHeader === undefined ? undefined : decodeHeaderText(workspaceHeader);
        const at = this.options.clock.monotonic();
        const run: CallRun = { request, workspace, path: req.path, body, headers: req.headers, at };
        this.runs.push(run);
        if (engine) return this.answerFromEngine(engine, req, res, request);
        this.addCachedParts(findHeader(req.headers, CALL_HEADERS.parts));
        this.openResponses.add(res);
        await this.options.clock.sleep(this.options.workMs, req.closed);
        await this.waitWhileSilent(req.closed);
        if (!this.openResponses.has(res)) return;
        if (body === this.options.crashesOn || this.hasCrashingPart(req)) await this.crash();
        else if (fault === "lost") res.reset();
        else await this.sendAnswer(req, res, { ...run, request: fault === "crossed" ? "another" : request }, fault);
        this.openResponses.delete(res);
        run.end = { at: this.options.clock.monotonic(), isWhole: !req.closed.aborted };
    }

    private async answerFromEngine(
        engine: CallEngine,
        req: HttpRequest,
        res: HttpResponse,
        request: string,
    ): Promise<void> {
        const parts = findHeader(req.headers, CALL_HEADERS.parts);
        const [promptTokens, answerTokens] = (findHeader(req.headers, CALL_HEADERS.tokens) ?? "0,1").split(",");
        const engineRequest = {
            request,
            priority: Number(findHeader(req.headers, CALL_HEADERS.priority)),
            promptTokens: Number(promptTokens),
            answerTokens: Number(answerTokens),
            countCached: () => this.countCachedTokens(parts),
        };
        const sendEvent = (number: number): void => {
            if (!this.openResponses.has(res)) return;
            if (number === 1) {
                this.addCachedParts(parts);
                res.head(200, this.streamHeaders(request));
            }
            void res.write(this.formatEvent(number));
        };
        this.openResponses.add(res);
        const isComplete = await engine.run(engineRequest, sendEvent, req.closed);
        if (isComplete && this.openResponses.has(res)) res.end();
        this.openResponses.delete(res);
    }

    /** Returns the tokens of a prompt's leading parts that are cached. */
    private countCachedTokens(parts = ""): number {
        let tokens = 0;
        for (const part of parts.split(",").filter(Boolean)) {
            const cached = this.cachedPartTokens.get(part.split(":")[0]);
            if (cached === undefined) break;
            tokens += cached;
        }
        return tokens;
    }

    private hasCrashingPart({ headers }: HttpRequest): boolean {
        const { crashesOnParts = [] } = this.options;
        const parts = (findHeader(headers, CALL_HEADERS.parts) ?? "").split(",").slice(0, -1);
        return parts.some(part => crashesOnParts.includes(part.split(":")[0]));
    }

    private async reject(res: HttpResponse, request: string): Promise<void> {
        const now = this.options.clock.monotonic();
        this.rejections = [...this.rejections.filter(at => at > now - MS_PER_SECOND), now];
        this.sendNotRun(res, request, 503);
        if (this.rejections.length <= (this.rejectionLimit ?? Number.POSITIVE_INFINITY)) return;
        this.rejections = [];
        this.falls++;
        await this.crash();
    }

    private waitWhileSilent(closed: AbortSignal): Promise<void> {
        const { clock } = this.options;
        return clock.sleep(Math.max(0, this.silentUntilMs - clock.monotonic()), closed);
    }

    private addCachedParts(parts = ""): void {
        for (const part of parts.split(",").filter(Boolean)) {
            const [id, tokens] = part.split(":");
            this.cachedPartTokens.set(id, Number(tokens));
        }
    }

    private sendCachedParts(res: HttpResponse): void {
        const parts = [...this.cachedPartTokens].map(([id, tokens]) => ({ id, tokens }));
        const text = JSON.stringify({ parts });
        const length: [string, string] = ["content-length", String(text.length)];
        res.head(200, [["content-type", "application/json"], length, ...this.stateHeaders()]);
        res.end(text);
    }

    private sendNotRun(res: HttpResponse, request: string, status: number, headers: HeaderList = []): void {
        const refusal: HeaderList = [[CALL_HEADERS.request, request], [CALL_HEADERS.notRun, "1"]];
        res.head(status, [...refusal, ["content-length", "0"], ...this.stateHeaders(), ...headers]);
        res.end();
    }

    private async sendAnswer(
        req: HttpRequest,
        res: HttpResponse,
        run: CallRun,
        fault: CallFault | undefined,
    ): Promise<void> {
        const headers = this.answerHeaders(run.request);
        if (this.options.events > 0 && fault !== "error") return this.sendEvents(req, res, run, fault);
        const text = `${fault === "error" ? "failed" : "answered"} by ${this.options.id}`;
        res.head(fault === "error" ? 500 : 200, [...headers, ["content-length", String(text.length)]]);
        res.end(text);
    }

    private answerHeaders(request: string): [string, string][] {
        const headers: [string, string][] = [
            [CALL_HEADERS.request, request],
            [CALL_HEADERS.signature, encodeHeaderText(`${this.options.id}/${request}`)],
            ...this.stateHeaders(),
        ];
        if (this.requestLimit !== undefined) headers.push([CALL_HEADERS.requestLimit, String(this.requestLimit)]);
        return headers;
    }

    private streamHeaders(request: string): [string, string][] {
        return [
            ...this.answerHeaders(request),
            ["content-type", "text/event-stream"],
            ["transfer-encoding", "chunked"],
        ];
    }

    private formatEvent(id: number): string {
        const padding = ".".repeat(this.options.eventPadding ?? 0);
        return `id: ${id}\nevent: ${this.software ?? "unknown"}\ndata: event ${id}${padding}\n\n`;
    }

    /** Headers of each answer that state something about this upstream. */
    private stateHeaders(): [string, string][] {
        const headers: [string, string][] = this.isLeaving ? [[CALL_HEADERS.leaving, "1"]] : [];
        if (this.rejectionLimit !== undefined) headers.push([CALL_HEADERS.rejectionLimit, String(this.rejectionLimit)]);
        return headers;
    }

    private async sendEvents(
        req: HttpRequest,
        res: HttpResponse,
        { request, body }: CallRun,
        fault: CallFault | undefined,
    ): Promise<void> {
        const { gapMs, clock } = this.options;
        const events = Number(EVENTS_PATTERN.exec(body)?.[1] ?? this.options.events);
        const lastEventId = fault === "begin-anew" ? 0 : Number(findHeader(req.headers, CALL_HEADERS.lastEventId) ?? 0);
        const firstEventId = lastEventId + 1;
        res.head(200, this.streamHeaders(request));
        for (let id = firstEventId; id <= events; id++) {
            await this.waitWhileSilent(req.closed);
            if (req.closed.aborted) return;
            if (fault === "break" && id === firstEventId + BREAK_AFTER_EVENTS) {
                await res.write(`id: ${id}\nda`);
                res.reset();
                return;
            }
            const isGarbled = fault === "garble" && id === firstEventId + BREAK_AFTER_EVENTS;
            await res.write(isGarbled ? GARBAGE : this.formatEvent(id));
            await clock.sleep(gapMs, req.closed);
        }
        res.end();
    }
}
