import { ControlClient, ViewCache } from "../../control/index.js";
import { LogIndex, RequestFingerprint, UpstreamId } from "../../ids/index.js";
import { WaitCondition } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import {
    CrashGuard,
    QuarantineResult,
    QuarantineTable,
    ServedRequests,
    UpstreamCrash,
} from "../../quarantine/index.js";
import { TrueTime } from "../../time/index.js";
import { PathFinding, UpstreamRegistry, UpstreamTarget } from "../../upstream/index.js";

/** Delay between an upstream's first ended connection and the probe, in milliseconds; its other connections have ended by then. */
const PROBE_DELAY_MS = 20;
/** Number of probes of an upstream that nobody reaches: a first packet may be lost. */
const MAX_PROBES = 3;
/** Timeout of one attempt to report crashes, and the delay after a failed attempt, in milliseconds. */
const REPORT_TIMEOUT_MS = 5_000;
const REPORT_RETRY_DELAY_MS = 200;
/** Maximum number of calls recorded for one upstream, and of crashes kept until they are reported. */
const MAX_CALLS_PER_UPSTREAM = 256;
const MAX_UNREPORTED_CRASHES = 64;

/** Options of `CrashMonitor`. */
export interface CrashMonitorOptions {
    readonly clock: Clock;
    /** Determines who reaches an upstream. */
    readonly probe: (target: UpstreamTarget) => Promise<PathFinding>;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly registry: Pick<UpstreamRegistry, "get">;
    readonly client: Pick<ControlClient, "command">;
    readonly cache: Pick<ViewCache, "quarantined" | "revision">;
    readonly time: Pick<TrueTime, "now">;
    /** Called when it is known whether an upstream that ended connections has crashed. */
    readonly onFinding?: (upstream: UpstreamId, incarnation: number, hasCrashed: boolean) => void;
}

/** An upstream that recently ended connections, and the calls that it was running on them. */
interface SuspectUpstream {
    readonly target: UpstreamTarget;
    readonly incarnation: number;
    readonly fingerprints: Set<RequestFingerprint>;
}

/**
 * Detects crashes of upstreams and applies quarantine on an entry: probes an upstream that ended connections, reports to the control log which
 * requests a crashed upstream was running, and holds back the requests that the log has quarantined.
 *
 * Connections also end for other reasons, so an upstream counts as crashed only if nothing listens at its address any more, and other hosts
 * find the same.
 *
 * @example
 * const monitor = new CrashMonitor(options);
 * lifecycle.run(signal => monitor.run(signal), logError);
 */
export class CrashMonitor extends CrashGuard {
    private readonly served: ServedRequests;
    /** Upstreams waiting to be probed, by id and incarnation. */
    private readonly suspects = new Map<string, SuspectUpstream>();
    /** Crashes not yet accepted by the control log. */
    private unreported: UpstreamCrash[] = [];
    /** Quarantine from crashes not yet reported. Without it, an entry that is cut off would crash one upstream after another. */
    private readonly localQuarantine = new QuarantineTable();
    /** Index of the last change of the local quarantine, which stands in for a log index. */
    private localIndex = 0;
    /** Revision at which the last report was applied. */
    private reportedRevision = 0;
    /** Notified when there is a crash to report. */
    private readonly reportPending = new WaitCondition();
    /** Quarantined requests at the last view change, to log only differences. */
    private loggedQuarantine: ReadonlySet<RequestFingerprint> = new Set();

    constructor(private readonly options: CrashMonitorOptions) {
        super();
        this.served = new ServedRequests(options.clock);
    }

    quarantineLeftMs(fingerprint: RequestFingerprint): number | undefined {
        const { cache, time } = this.options;
        const { until = 0 } = cache.quarantined.get(fingerprint) ?? this.localQuarantine.find(fingerprint) ?? {};
        if (until === 0) return undefined;
        const leftMs = until - time.now();
        return leftMs > 0 ? leftMs : undefined;
    }

    recordServed(fingerprint: RequestFingerprint): void {
        this.served.record(fingerprint);
    }

    recordConnectionEnd(fingerprint: RequestFingerprint, target: UpstreamTarget): void {
        const { upstream } = target;
        if (this.served.isRecent(fingerprint)) return;
        const announcement = this.options.registry.get(upstream)?.announcement;
        const isExpectedToEnd = announcement?.state === "gone" || announcement?.reclaim_in_ms !== undefined;
        if (!announcement || isExpectedToEnd) return;
        const { incarnation } = announcement;
        const name = `${upstream}/${incarnation}`;
        const suspect = this.suspects.get(name);
        if (suspect && suspect.fingerprints.size < MAX_CALLS_PER_UPSTREAM) suspect.fingerprints.add(fingerprint);
        if (suspect) return;
        this.suspects.set(name, { target, incarnation, fingerprints: new Set([fingerprint]) });
        void this.investigate(name);
    }

    /** Called when the view has changed. */
    viewChanged(): void {
        const { cache, logger, metrics } = this.options;
        const { quarantined, revision } = cache;
        for (const { fingerprint, until, rounds, crashed } of quarantined.values()) {
            if (this.loggedQuarantine.has(fingerprint)) continue;
            logger.info("request-quarantined", { fingerprint, until, rounds, crashed: crashed.join(" "), revision });
        }
        for (const fingerprint of this.loggedQuarantine) {
            if (!quarantined.has(fingerprint)) logger.info("request-released", { fingerprint, revision });
        }
        this.loggedQuarantine = new Set(quarantined.keys());
        metrics.gauge("requests_quarantined", this.loggedQuarantine.size);
        this.clearLocalQuarantine();
    }

    /** Reports crashes until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        while (!signal.aborted) {
            if (this.unreported.length === 0) await this.reportPending.wait(clock, REPORT_TIMEOUT_MS, signal);
            else if (!await this.report()) await clock.sleep(REPORT_RETRY_DELAY_MS, signal);
        }
    }

    private async investigate(name: string): Promise<void> {
        const { clock, logger, metrics } = this.options;
        await clock.sleep(PROBE_DELAY_MS);
        const suspect = this.suspects.get(name)!;
        const finding = await this.probe(suspect.target);
        this.suspects.delete(name);
        const { target: { upstream }, incarnation } = suspect;
        const fingerprints = [...suspect.fingerprints];
        metrics.count("upstreams_probed", 1, { finding });
        logger.info("upstream-probed", { upstream, incarnation, finding, fingerprints: fingerprints.join(" ") });
        this.options.onFinding?.(upstream, incarnation, finding === "crashed");
        if (finding === "crashed") this.queueReport({ upstream, incarnation, fingerprints });
    }

    private async probe(target: UpstreamTarget): Promise<PathFinding> {
        for (let attempt = 1; attempt < MAX_PROBES; attempt++) {
            const finding = await this.options.probe(target);
            if (finding !== "unreachable") return finding;
        }
        return this.options.probe(target);
    }

    private queueReport(crash: UpstreamCrash): void {
        this.unreported.push(crash);
        if (this.unreported.length > MAX_UNREPORTED_CRASHES) {
            const { upstream } = this.unreported.shift()!;
            this.options.logger.warn("crash-report-dropped", { upstream });
        }
        const context = { index: ++this.localIndex as LogIndex, proposedAt: this.options.time.now() };
        this.localQuarantine.apply({ kind: "crash.note", crashes: [crash] }, context);
        this.reportPending.notifyAll();
    }

    /** @returns Whether the control log has accepted all crashes queued at the time of the call. */
    private async report(): Promise<boolean> {
        const { client, logger } = this.options;
        const crashes = this.unreported;
        const result = await client.command({ kind: "crash.note", crashes }, REPORT_TIMEOUT_MS);
        result.ifLeft(err => logger.warn("crashes-not-reported", { crashes: crashes.length, problem: err.message }));
        if (result.isLeft()) return false;
        this.unreported = this.unreported.filter(crash => !crashes.includes(crash));
        this.reportedRevision = (result.extract() as QuarantineResult).revision;
        this.clearLocalQuarantine();
        return true;
    }

    /** Clears the local quarantine once all crashes are reported and the view includes the resulting revision. */
    private clearLocalQuarantine(): void {
        const { revision } = this.options.cache;
        if (this.unreported.length === 0 && revision >= this.reportedRevision) this.localQuarantine.restore(undefined);
    }
}
