import { Either, Left, Right } from "purify-ts";
import { HostId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock, formatAddress, HeaderList, Http, HttpCall, HttpError, HttpReply } from "../../ports/index.js";
import { PathError, UpstreamCall, UpstreamReply, UpstreamTarget } from "../../upstream/index.js";
import { RelayHost } from "../relayDirectory/index.js";
import {
    decodeRelayMessage,
    encodeRelayMessage,
    FRAME_KINDS,
    readRelayFrames,
    RelayFrame,
} from "../relayFrame/index.js";
import {
    BrokenBody,
    RELAY_METHOD,
    RELAY_PATH,
    RelayAnswer,
    RelayFinding,
    RelayRefusalReason,
    RelayRequest,
} from "../relayMessage/index.js";
import { RelayPicker } from "../relayPicker/index.js";

/** Timeout for connecting to a relay, in milliseconds. */
const CONNECT_TIMEOUT_MS = 150;
/** Timeout of a relay's answer to a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 300;
/** Maximum number of relays that are asked for one request, and maximum time for it, in milliseconds. */
const MAX_RELAYS_ASKED = 6;
const MAX_SEARCH_MS = 400;
/** Number of relays that are asked at the same time whether they reach an upstream. */
const RELAYS_PER_PROBE = 3;
/** Maximum number of relays that are asked that, and time after which the next ones are, in milliseconds. */
const MAX_RELAYS_PROBED = 9;
const NEXT_PROBES_MS = 40;
/** An upstream counts as unreachable when this many relays could not connect to it. */
const MAX_UNREACHABLE = 2;
/** Time for which a relay is left out after it refused a request, by reason, in milliseconds; 0: only for this request. */
const UNFIT_MS: Readonly<Record<RelayRefusalReason, number>> = {
    "cut-off": 2_000,
    "unreachable": 0,
    "blocked": 0,
    "unknown-upstream": 0,
    "draining": 2_000,
    "full": 300,
};
/** Time for which a relay that could not be reached is left out, in milliseconds. */
const LOST_RELAY_MS = 2_000;
/** What relays may find out, the most telling first. */
const FINDINGS_BY_WEIGHT: readonly RelayFinding[] = ["reached", "refused", "unreachable"];
const STATUS_OK = 200;
/** Statuses of servers that relay nothing: they have not sent the request. */
const STATUSES_NOT_SENT: readonly number[] = [403, 404, 413, 431];

/** Options of `RelayClient`. */
export interface RelayClientOptions {
    readonly clock: Clock;
    readonly http: Http;
    readonly metrics: Metrics;
    readonly self: HostId;
    readonly picker: RelayPicker;
    /** Returns an upstream's zone; undefined where it is not known. */
    readonly zoneOf: (upstream: UpstreamId) => ZoneId | undefined;
}

/** Result of asking one relay to send a request. */
type RelayAttempt =
    | { readonly kind: "reply"; readonly reply: UpstreamReply; }
    | { readonly kind: "not-sent"; readonly reason: RelayRefusalReason | "lost"; readonly leftMs?: number; }
    | { readonly kind: "lost"; readonly err: HttpError; };

/**
 * Sends requests to upstreams by way of other hosts, for a host that has lost its own paths.
 *
 * Prevents a request from running twice: another relay is asked only if the last one states that it has not sent the request, or if the
 * connection to it could not be opened.
 *
 * @example
 * const sent = await client.send(call);
 */
export class RelayClient {
    constructor(private readonly options: RelayClientOptions) {}

    /**
     * Sends a request through the first relay that can.
     *
     * @param startedAt - Monotonic time from which the request's time limits count, in milliseconds.
     */
    async send(call: UpstreamCall, startedAt: number): Promise<Either<HttpError, UpstreamReply>> {
        const { clock, picker, zoneOf } = this.options;
        const searchUntil = clock.monotonic() + MAX_SEARCH_MS;
        const asked = new Set<HostId>();
        let unreachable = 0;
        let leftMs: number | undefined;
        while (asked.size < MAX_RELAYS_ASKED && clock.monotonic() < searchUntil) {
            const relay = picker.pick(zoneOf(call.target.upstream), asked);
            if (!relay) break;
            asked.add(relay.host);
            call.onRelay?.(relay.host);
            const attempt = await this.askRelay(relay, call, clock.monotonic() - startedAt);
            if (call.signal?.aborted && attempt.kind !== "reply") return Left(abortedError(attempt));
            if (attempt.kind === "reply") {
                picker.markProved(relay.host);
                return Right(attempt.reply);
            }
            if (attempt.kind === "lost") return Left(attempt.err);
            this.recordRefusal(relay.host, attempt.reason);
            leftMs = attempt.leftMs ?? leftMs;
            if (attempt.reason === "unreachable" && ++unreachable >= MAX_UNREACHABLE) {
                return Left(new HttpError("timeout", false, `${formatAddress(call.target.address)} through relays`));
            }
        }
        return Left(new PathError("timeout", false, `none of ${asked.size} relays could send it`, leftMs));
    }

    /**
     * Asks other hosts whether they reach an upstream, some at a time: those that do answer within milliseconds, and hosts that have lost
     * their own paths take long.
     */
    async probe(target: UpstreamTarget): Promise<RelayFinding> {
        const { clock, picker } = this.options;
        const asked = new Set<HostId>();
        const findings: RelayFinding[] = [];
        const reached = new AbortController();
        const asking: Promise<void>[] = [];
        while (asked.size < MAX_RELAYS_PROBED && !reached.signal.aborted && !isUnanimous(findings)) {
            const relays = picker.pickApart(RELAYS_PER_PROBE, asked);
            if (relays.length === 0) break;
            for (const relay of relays) {
                asked.add(relay.host);
                const answer = this.askFinding(relay, target);
                asking.push(answer.then(finding => {
                    findings.push(finding);
                    if (finding === "reached") reached.abort();
                    // A relay that does not reach what another one does has lost its path, too.
                    else if (reached.signal.aborted) this.recordRefusal(relay.host, "cut-off");
                }));
            }
            await Promise.race([Promise.all(asking), clock.sleep(NEXT_PROBES_MS, reached.signal)]);
        }
        const isReached = new Promise<void>(resolve => {
            if (reached.signal.aborted) resolve();
            reached.signal.addEventListener("abort", () => resolve());
        });
        await Promise.race([Promise.all(asking), isReached]);
        return FINDINGS_BY_WEIGHT.find(finding => findings.includes(finding)) ?? "unknown";
    }

    private recordRefusal(host: HostId, reason: RelayRefusalReason | "lost"): void {
        const { picker, metrics } = this.options;
        metrics.count("relay_refusals", 1, { reason });
        const ms = reason === "lost" ? LOST_RELAY_MS : UNFIT_MS[reason];
        if (ms > 0) picker.markUnfit(host, ms);
    }

    private async askRelay(relay: RelayHost, call: UpstreamCall, elapsedMs: number): Promise<RelayAttempt> {
        const { http, picker, self } = this.options;
        const end = picker.begin(relay.host);
        const request = makeCallRequest(self, call, elapsedMs);
        const sent = await http.send(makeHttpCall(relay, request, call, call.headTimeoutMs - elapsedMs, call.body));
        if (sent.isLeft()) {
            end();
            return describeFailure(sent.extract() as HttpError);
        }
        const attempt = await readAttempt(sent.unsafeCoerce(), relay.host, end);
        if (attempt.kind !== "reply") end();
        return attempt;
    }

    private async askFinding(relay: RelayHost, target: UpstreamTarget): Promise<RelayFinding> {
        const { http, self } = this.options;
        const request: RelayRequest = { kind: "probe", origin: self, target: toRelayTarget(target) };
        const sent = await http.send(makeHttpCall(relay, request, undefined, PROBE_TIMEOUT_MS));
        if (sent.isLeft() || sent.unsafeCoerce().status !== STATUS_OK) return "unknown";
        try {
            const answer = await readWholeAnswer(sent.unsafeCoerce());
            const finding = answer?.kind === "probed" ? answer.finding : "unknown";
            if (finding === "reached") this.options.picker.markProved(relay.host);
            if (finding === "unknown") this.recordRefusal(relay.host, "cut-off");
            return finding;
        }
        catch {
            return "unknown";
        }
    }
}

/** Whether some relays have answered, and all found that nobody listens at the upstream's address. */
function isUnanimous(findings: readonly RelayFinding[]): boolean {
    return findings.length > 0 && findings.every(finding => finding === "refused");
}

function toRelayTarget({ pool, upstream, incarnation = 0, address }: UpstreamTarget) {
    return { pool, upstream, incarnation, address: formatAddress(address) };
}

function makeCallRequest(origin: HostId, call: UpstreamCall, elapsedMs: number): RelayRequest {
    const { target, method, path, deadlineHeader, headTimeoutMs, newConnection, recentlyUsedOnly = false } = call;
    return {
        kind: "call",
        origin,
        target: toRelayTarget(target),
        method,
        path,
        headers: reduceDeadline(call.headers, deadlineHeader, elapsedMs),
        hasBody: call.body !== undefined,
        newConnection,
        recentlyUsedOnly,
        headTimeoutMs: Math.max(1, headTimeoutMs - elapsedMs),
    };
}

/** Takes the time that has passed off the header that states the remaining time. */
function reduceDeadline(headers: HeaderList, name: string | undefined, elapsedMs: number): HeaderList {
    if (name === undefined || elapsedMs < 1) return headers;
    return headers.map(([key, value]) => {
        const isDeadline = key.toLowerCase() === name;
        return isDeadline ? [key, String(Math.max(1, Math.floor(Number(value) - elapsedMs)))] : [key, value];
    });
}

function makeHttpCall(
    { address }: RelayHost,
    request: RelayRequest,
    call: Pick<UpstreamCall, "signal" | "newConnection" | "recentlyUsedOnly"> | undefined,
    headTimeoutMs: number,
    body: Uint8Array = new Uint8Array(),
): HttpCall {
    return {
        address,
        method: RELAY_METHOD,
        path: RELAY_PATH,
        headers: [["content-type", "application/octet-stream"]],
        body: Buffer.concat([encodeRelayMessage(FRAME_KINDS.message, request), body]),
        newConnection: call?.newConnection ?? false,
        recentlyUsedOnly: call?.recentlyUsedOnly,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs: Math.max(1, headTimeoutMs),
        signal: call?.signal,
    };
}

function describeFailure(err: HttpError): RelayAttempt {
    if (!err.mayHaveBeenSent) return { kind: "not-sent", reason: "lost" };
    return { kind: "lost", err: new PathError(err.reason, true, `the relay: ${err.message}`) };
}

function abortedError(attempt: Exclude<RelayAttempt, { kind: "reply"; }>): HttpError {
    return new HttpError("aborted", attempt.kind === "lost" && attempt.err.mayHaveBeenSent, "through a relay");
}

/** Reads the first frame of a relay's answer; the rest of a reply is read as its body. */
async function readAttempt(reply: HttpReply, relay: HostId, end: () => void): Promise<RelayAttempt> {
    if (reply.status !== STATUS_OK) {
        reply.reset();
        if (STATUSES_NOT_SENT.includes(reply.status)) return { kind: "not-sent", reason: "lost" };
        return { kind: "lost", err: new PathError("malformed", true, `the relay answers ${reply.status}`) };
    }
    const frames = readRelayFrames(reply.body)[Symbol.asyncIterator]();
    const answer = await readAnswer(frames);
    if (answer instanceof HttpError) {
        reply.reset();
        return { kind: "lost", err: answer };
    }
    switch (answer.kind) {
        case "reply": {
            const { status, headers } = answer;
            const reset = (): void => {
                end();
                reply.reset();
            };
            return { kind: "reply", reply: { status, headers, relay, reset, body: readBody(frames, end) } };
        }
        case "not-sent":
            void drain(frames);
            return { kind: "not-sent", reason: answer.reason, leftMs: answer.leftMs };
        case "lost":
            void drain(frames);
            return { kind: "lost", err: new HttpError(answer.reason, true, answer.detail) };
        default:
            reply.reset();
            return { kind: "lost", err: new PathError("malformed", true, "the relay's answer is none to a call") };
    }
}

async function readAnswer(frames: AsyncIterator<RelayFrame>): Promise<RelayAnswer | HttpError> {
    try {
        const first = await frames.next();
        if (first.done || first.value.kind !== FRAME_KINDS.message) {
            return new PathError("closed", true, "the relay's answer has no beginning");
        }
        return decodeRelayMessage(first.value) as RelayAnswer;
    }
    catch (err) {
        return new PathError("closed", true, `the relay's answer: ${(err as Error).message}`);
    }
}

/** Reads the upstream's body; a body whose end did not come is not complete. */
async function* readBody(frames: AsyncIterator<RelayFrame>, end: () => void): AsyncIterable<Uint8Array> {
    try {
        for (;;) {
            const frame = await readFrame(frames);
            if (frame.kind === FRAME_KINDS.end) break;
            if (frame.kind === FRAME_KINDS.broken) {
                const { reason, detail } = decodeRelayMessage(frame) as BrokenBody;
                throw new HttpError(reason, true, detail);
            }
            yield frame.payload;
        }
        await drain(frames);
    }
    finally {
        end();
    }
}

async function readFrame(frames: AsyncIterator<RelayFrame>): Promise<RelayFrame> {
    let next: IteratorResult<RelayFrame>;
    try {
        next = await frames.next();
    }
    catch (err) {
        const reason = err instanceof HttpError ? err.reason : "closed";
        throw new PathError(reason, true, `the relay: ${(err as Error).message}`);
    }
    if (next.done) throw new PathError("closed", true, "the relay's answer was cut off");
    return next.value;
}

/** Reads what is left, so that the connection to the relay can be used again. */
async function drain(frames: AsyncIterator<RelayFrame>): Promise<void> {
    try {
        while (!(await frames.next()).done);
    }
    catch {
        // The connection ended, so it cannot be used again.
    }
}

async function readWholeAnswer(reply: HttpReply): Promise<RelayAnswer | undefined> {
    let answer: RelayAnswer | undefined;
    for await (const frame of readRelayFrames(reply.body)) answer ??= decodeRelayMessage(frame) as RelayAnswer;
    return answer;
}
