import { Either, Left, Right } from "purify-ts";
import { HostId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock, encodeHeaderText, formatAddress, Http, HttpError } from "../../ports/index.js";
import { PathError, UpstreamCall, UpstreamReply } from "../../upstream/index.js";
import { makeRelayCall } from "../relayCall/index.js";
import { RelayHost } from "../relayDirectory/index.js";
import { RelayRefusalReason } from "../relayMessage/index.js";
import { RelayPicker } from "../relayPicker/index.js";
import { readRelayReply, RelayAttempt } from "../relayReply/index.js";

/** Maximum number of relays that are asked for one request, and maximum time for it, in milliseconds. */
const MAX_RELAYS = 6;
const MAX_SEARCH_MS = 400;
/** An upstream counts as unreachable when this many relays could not connect to it. */
const MAX_UNREACHABLE = 2;
/** Time for which a relay is left out after it refused a request or could not be reached, in milliseconds; 0: only for this request. */
const UNFIT_MS: Readonly<Record<RelayRefusalReason | "lost", number>> = {
    "cut-off": 2_000,
    "unreachable": 0,
    "blocked": 0,
    "unknown-upstream": 0,
    "draining": 2_000,
    "full": 300,
    "lost": 2_000,
};

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

/**
 * Sends requests to upstreams by way of other hosts, for a host that has lost its own paths.
 *
 * Prevents a request from running twice: another relay is asked only if the last one states of this request that it has not sent it, or if
 * the connection to it could not be opened.
 *
 * @example
 * const sent = await client.send(call, clock.monotonic());
 */
export class RelayClient {
    private exchangeCount = 0;

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
        while (asked.size < MAX_RELAYS && clock.monotonic() < searchUntil) {
            const relay = picker.pick(zoneOf(call.target.upstream), asked);
            if (!relay) break;
            asked.add(relay.host);
            call.onRelay?.(relay.host);
            const attempt = await this.ask(relay, call, clock.monotonic() - startedAt);
            if (attempt.kind === "reply") return Right(attempt.reply);
            if (attempt.kind === "lost") return Left(attempt.err);
            if (call.signal?.aborted) return Left(new HttpError("aborted", false, "through a relay"));
            this.recordRefusal(relay.host, attempt.reason);
            leftMs = attempt.leftMs ?? leftMs;
            if (attempt.reason === "unreachable" && ++unreachable >= MAX_UNREACHABLE) {
                return Left(new HttpError("timeout", false, `${formatAddress(call.target.address)} through relays`));
            }
        }
        return Left(new PathError("timeout", false, `none of ${asked.size} relays could send it`, leftMs));
    }

    private async ask(relay: RelayHost, call: UpstreamCall, elapsedMs: number): Promise<RelayAttempt> {
        const { http, picker, self } = this.options;
        const end = picker.begin(relay.host);
        const exchange = encodeHeaderText(`${self}/${++this.exchangeCount}`);
        const sent = await http.send(makeRelayCall(relay, self, call, elapsedMs, exchange));
        if (sent.isLeft()) {
            end();
            return toAttempt(sent.extract() as HttpError);
        }
        const attempt = await readRelayReply(sent.unsafeCoerce(), relay.host, exchange, end);
        if (attempt.kind === "reply") picker.markProved(relay.host);
        return attempt;
    }

    private recordRefusal(host: HostId, reason: RelayRefusalReason | "lost"): void {
        const { picker, metrics } = this.options;
        metrics.count("relay_refusals", 1, { reason });
        if (UNFIT_MS[reason] > 0) picker.markUnfit(host, UNFIT_MS[reason]);
    }
}

/** What a failure to reach a relay means; one that this host has caused says nothing about the relay. */
function toAttempt(err: HttpError): RelayAttempt {
    if (!err.mayHaveBeenSent) return { kind: "not-sent", reason: "lost" };
    if (err.reason === "aborted") return { kind: "lost", err };
    return { kind: "lost", err: new PathError(err.reason, true, `the relay: ${err.message}`) };
}
