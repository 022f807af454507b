import { Either, Left } from "purify-ts";
import { Clock, HttpError } from "../../ports/index.js";
import {
    FailureCause,
    PathFinding,
    SentFailure,
    UpstreamCall,
    UpstreamHttp,
    UpstreamRegistry,
    UpstreamReply,
    UpstreamTarget,
} from "../../upstream/index.js";
import { ConnectionState, DirectSender } from "../directSender/index.js";
import { PathMonitor, PEER_CHECK_DELAY_MS } from "../pathMonitor/index.js";
import { RelayClient } from "../relayClient/index.js";
import { SilenceWatch } from "../silenceWatch/index.js";

/** Options of `RelayedHttp`. */
export interface RelayedHttpOptions {
    readonly clock: Clock;
    readonly sender: DirectSender;
    readonly paths: PathMonitor;
    readonly client: RelayClient;
    readonly silence: Pick<SilenceWatch, "silentMs">;
    readonly registry: Pick<UpstreamRegistry, "get">;
}

/** A request that fails while no upstream has been heard for this long may have failed on this host's own path, in milliseconds. */
const SUSPICIOUS_SILENCE_MS = 250;

/**
 * Sends requests to upstreams directly, or through another host while this one has lost its path and others have theirs.
 *
 * A request whose connection can't be opened here goes through a relay at once, if another host reaches the upstream: its caller loses
 * a tenth of a second, and neither the upstream nor the retry budget is charged.
 *
 * @example
 * const sent = await new RelayedHttp(options).send(call);
 */
export class RelayedHttp extends UpstreamHttp {
    constructor(private readonly options: RelayedHttpOptions) {
        super();
    }

    async send(call: UpstreamCall): Promise<Either<HttpError, UpstreamReply>> {
        const { clock, paths, client } = this.options;
        const startedAt = clock.monotonic();
        const identified = { ...call, target: this.identify(call.target) };
        if (paths.isLost(identified.target)) return client.send(identified, startedAt);
        const sent = await this.sendDirectly(identified);
        return sent === "cut-off" ? client.send(identified, startedAt) : sent;
    }

    probe(target: UpstreamTarget): Promise<PathFinding> {
        return this.options.paths.check(this.identify(target));
    }

    hadLostPath(target: UpstreamTarget, since: number): boolean {
        return this.options.paths.hadLost(target, since);
    }

    async findFailureCause(target: UpstreamTarget, { sentAt, connectionEnded }: SentFailure): Promise<FailureCause> {
        const { paths, silence } = this.options;
        if (paths.hadLost(target, sentAt)) return "path";
        if (!connectionEnded && silence.silentMs < SUSPICIOUS_SILENCE_MS) return "upstream";
        const finding = await this.probe(target);
        if (finding === "cut-off") return "path";
        return connectionEnded && finding !== "open" ? "upstream-ended" : "upstream";
    }

    /** @returns "cut-off" where nothing was sent, and another host reaches the upstream. */
    private async sendDirectly(call: UpstreamCall): Promise<Either<HttpError, UpstreamReply> | "cut-off"> {
        const { clock, sender, paths } = this.options;
        const { target, signal } = call;
        const attempt = new AbortController();
        const abort = (): void => attempt.abort();
        signal?.addEventListener("abort", abort);
        let state: ConnectionState = "kept";
        let isCutOff = false;
        const timer = clock.after(PEER_CHECK_DELAY_MS, async () => {
            if (state !== "opening" || await paths.askPeers(target) !== "reached" || state !== "opening") return;
            isCutOff = true;
            attempt.abort();
        });
        const sent = await sender.send({ ...call, signal: attempt.signal }, changed => {
            state = changed;
            if (changed === "open") paths.recordConnection(target);
        });
        timer.cancel();
        sent.ifLeft(() => signal?.removeEventListener("abort", abort));
        const err = sent.swap().toMaybe().extract();
        if (!err || err.mayHaveBeenSent || signal?.aborted) return sent;
        // Where the connection timed out, other hosts have had time to answer.
        if (!isCutOff && (err.reason !== "refused" || !await this.isReachedByPeers(target))) return sent;
        paths.recordLost(target);
        return signal?.aborted ? Left(new HttpError("aborted", false, "before relaying")) : "cut-off";
    }

    /** Whether another host reaches an upstream, by an answer that comes soon. */
    private async isReachedByPeers(target: UpstreamTarget): Promise<boolean> {
        const { clock, paths } = this.options;
        const timeout = new AbortController();
        const finding = await Promise.race([
            paths.askPeers(target),
            clock.sleep(PEER_CHECK_DELAY_MS, timeout.signal).then(() => "unknown" as const),
        ]);
        timeout.abort();
        return finding === "reached";
    }

    /** Adds the run of the upstream where the sender does not know it. */
    private identify(target: UpstreamTarget): UpstreamTarget {
        if (target.incarnation !== undefined) return target;
        return { ...target, incarnation: this.options.registry.get(target.upstream)?.announcement.incarnation };
    }
}
