import { ControlClient, ViewCache } from "../../control/index.js";
import { HostId, LogIndex, PartId, RequestFingerprint, UpstreamId } from "../../ids/index.js";
import { WaitCondition } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import {
    limitCalls,
    PartAnswers,
    PartCrash,
    PartGuard,
    PartQuarantine,
    PartResult,
    PartsRequest,
    PartTable,
    ServedParts,
} from "../../quarantine/index.js";
import { TrueTime } from "../../time/index.js";
import { UpstreamTarget } from "../../upstream/index.js";

/** Timeout of one attempt of a command, and the delay after a failed one, in milliseconds. */
const COMMAND_TIMEOUT_MS = 5_000;
const RETRY_DELAY_MS = 200;
/** Retry time of requests with a part that one request is about to try again, in milliseconds. */
const TRIAL_RETRY_MS = 1_000;
/** Time within which a host that may try a part has to send its request, in milliseconds. */
const TRIAL_PERMISSION_MS = 5_000;
/** Maximum number of upstreams with calls recorded, and of crashes kept until they are reported. */
const MAX_UPSTREAMS = 64;
const MAX_UNREPORTED_CRASHES = 64;

/** Options of `PartMonitor`. */
export interface PartMonitorOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly self: HostId;
    readonly client: Pick<ControlClient, "command">;
    readonly cache: Pick<ViewCache, "parts" | "revision">;
    readonly time: Pick<TrueTime, "now">;
}

/** The permission to send one request with a part whose quarantine is over. */
interface Trial {
    /** Monotonic time at which it ends, in milliseconds. */
    readonly endsAt: number;
    /** The request that uses it; undefined until one does. */
    usedBy: RequestFingerprint | undefined;
}

/**
 * Reports prompts on which upstreams crashed to the control log, and answers that begin on prompts with suspected parts, and holds back
 * prompts with the parts that the log has quarantined.
 *
 * A host without crashes reports nothing: which parts are suspected comes with the view.
 *
 * @example
 * const monitor = new PartMonitor(options);
 * lifecycle.run(signal => monitor.run(signal), logError);
 */
export class PartMonitor extends PartGuard {
    private readonly served = new ServedParts();
    /** Calls on which upstreams ended connections, by upstream and incarnation, until it is known whether it crashed. */
    private readonly unanswered = new Map<string, readonly (readonly PartId[])[]>();
    private unreportedCrashes: PartCrash[] = [];
    /** Parts that the log suspects, with the number of answers that began here since, and how many of these were reported. */
    private readonly suspects = new Map<PartId, { begun: number; reported: number; }>();
    private readonly trials = new Map<PartId, Trial>();
    private readonly requestedTrials = new Set<PartId>();
    /** Quarantine from crashes not yet reported. Without it, an entry that is cut off would crash one upstream after another. */
    private readonly localTable = new PartTable();
    private localIndex = 0;
    /** Revision at which the last report was applied. */
    private reportedRevision = 0;
    private readonly reportPending = new WaitCondition();
    private loggedQuarantine: ReadonlySet<PartId> = new Set();

    constructor(private readonly options: PartMonitorOptions) {
        super();
    }

    findQuarantine(request: PartsRequest): PartQuarantine | undefined {
        const { cache: { parts }, time } = this.options;
        for (const part of request.sharedParts) {
            const { until = 0 } = parts.quarantined.get(part) ?? this.localTable.find(part) ?? {};
            if (until === 0) continue;
            const leftMs = until - time.now();
            if (leftMs > 0) return { part, leftMs };
            if (!this.mayTry(part, request.fingerprint)) return { part, leftMs: TRIAL_RETRY_MS };
        }
        return undefined;
    }

    recordBegun({ sharedParts }: PartsRequest): void {
        this.served.record(sharedParts);
        if (this.suspects.size === 0 && this.trials.size === 0) return;
        for (const part of sharedParts) this.countBegun(part);
    }

    recordUnanswered({ sharedParts }: PartsRequest, { upstream, incarnation }: UpstreamTarget): void {
        if (sharedParts.length === 0 || incarnation === undefined) return;
        const name = toRunName(upstream, incarnation);
        this.unanswered.set(name, limitCalls([...this.unanswered.get(name) ?? [], sharedParts]));
        if (this.unanswered.size > MAX_UPSTREAMS) this.unanswered.delete(this.unanswered.keys().next().value!);
    }

    /** Called when it is known whether an upstream that ended connections has crashed. */
    recordFinding(upstream: UpstreamId, incarnation: number, hasCrashed: boolean): void {
        const name = toRunName(upstream, incarnation);
        const calls = this.unanswered.get(name);
        this.unanswered.delete(name);
        if (!hasCrashed || !calls) return;
        const { logger, time } = this.options;
        const crash: PartCrash = { upstream, incarnation, at: time.now(), calls };
        this.unreportedCrashes.push(crash);
        if (this.unreportedCrashes.length > MAX_UNREPORTED_CRASHES) {
            const dropped = this.unreportedCrashes.shift()!;
            logger.warn("part-crash-dropped", { upstream: dropped.upstream });
        }
        logger.info("prompts-crashed", { upstream, incarnation, parts: calls.map(call => call.join(" ")).join(", ") });
        const context = { index: ++this.localIndex as LogIndex, proposedAt: time.now() };
        this.localTable.apply({ kind: "parts.crashed", crashes: [crash] }, context);
        this.reportPending.notifyAll();
    }

    /** Called when the view has changed. */
    viewChanged(): void {
        const { parts: { suspects, quarantined } } = this.options.cache;
        for (const part of this.trials.keys()) {
            if (!quarantined.has(part)) this.trials.delete(part);
        }
        for (const part of this.suspects.keys()) {
            if (!suspects.has(part) && !this.trials.has(part)) this.suspects.delete(part);
        }
        for (const part of suspects) {
            if (this.suspects.has(part)) continue;
            this.suspects.set(part, { begun: 0, reported: 0 });
            if (this.served.has(part)) this.countBegun(part);
        }
        this.logQuarantine();
        this.clearLocalTable();
    }

    /** Reports crashes and answers until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        while (!signal.aborted) {
            const hasReport = this.unreportedCrashes.length > 0 || this.listDueAnswers().length > 0;
            if (!hasReport) await this.reportPending.wait(clock, COMMAND_TIMEOUT_MS, signal);
            else if (!await this.report()) await clock.sleep(RETRY_DELAY_MS, signal);
        }
    }

    private countBegun(part: PartId): void {
        const trial = this.trials.get(part);
        const counts = this.suspects.get(part);
        if (counts) counts.begun++;
        else if (trial) this.suspects.set(part, { begun: 1, reported: 0 });
        if (counts || trial) this.reportPending.notifyAll();
    }

    /** Lists answers to report. The number for each part doubles from report to report, so that popular parts cause few of them. */
    private listDueAnswers(): PartAnswers[] {
        return [...this.suspects].filter(([, { begun, reported }]) => begun > 0 && begun >= 2 * reported)
            .map(([part, { begun, reported }]) => ({ part, count: begun - reported }));
    }

    /** @returns Whether the control log has accepted what there was to report. */
    private async report(): Promise<boolean> {
        const crashes = this.unreportedCrashes;
        const isCrashReported = crashes.length === 0 || await this.reportCrashes(crashes);
        const answers = this.listDueAnswers();
        if (answers.length === 0) return isCrashReported;
        const accepted = await this.send({ kind: "parts.answered", parts: answers });
        if (!accepted) return false;
        for (const { part, count } of answers) {
            const counts = this.suspects.get(part);
            if (counts) counts.reported += count;
        }
        return isCrashReported;
    }

    private async reportCrashes(crashes: readonly PartCrash[]): Promise<boolean> {
        const result = await this.send({ kind: "parts.crashed", crashes });
        if (!result) return false;
        this.unreportedCrashes = this.unreportedCrashes.filter(crash => !crashes.includes(crash));
        this.reportedRevision = result.revision;
        this.clearLocalTable();
        return true;
    }

    private async send(command: Parameters<ControlClient["command"]>[0]): Promise<PartResult | undefined> {
        const { client, logger } = this.options;
        const result = await client.command<PartResult>(command, COMMAND_TIMEOUT_MS);
        result.ifLeft(err => logger.warn("parts-not-reported", { kind: command.kind, problem: err.message }));
        return result.toMaybe().extract();
    }

    /** Whether a request may use this host's permission to try a part; asks for one where there is none. */
    private mayTry(part: PartId, fingerprint: RequestFingerprint): boolean {
        const trial = this.trials.get(part);
        const isValid = trial !== undefined && this.options.clock.monotonic() < trial.endsAt;
        if (!isValid) {
            void this.requestTrial(part);
            return false;
        }
        trial.usedBy ??= fingerprint;
        return trial.usedBy === fingerprint;
    }

    private async requestTrial(part: PartId): Promise<void> {
        if (this.requestedTrials.has(part)) return;
        this.requestedTrials.add(part);
        const { clock, logger, self: host } = this.options;
        const result = await this.send({ kind: "parts.try", part, host });
        this.requestedTrials.delete(part);
        if (!result?.mayTry) return;
        logger.info("part-trial", { part });
        this.trials.set(part, { endsAt: clock.monotonic() + TRIAL_PERMISSION_MS, usedBy: undefined });
    }

    private logQuarantine(): void {
        const { cache: { parts: { quarantined }, revision }, logger, metrics } = this.options;
        for (const { part, until, rounds, crashed } of quarantined.values()) {
            if (this.loggedQuarantine.has(part)) continue;
            logger.info("part-quarantined", { part, until, rounds, crashed: crashed.join(" "), revision });
        }
        for (const part of this.loggedQuarantine) {
            if (!quarantined.has(part)) logger.info("part-released", { part, revision });
        }
        this.loggedQuarantine = new Set(quarantined.keys());
        metrics.gauge("parts_quarantined", this.loggedQuarantine.size);
    }

    /** Clears the local table once all crashes are reported and the view includes the resulting revision. */
    private clearLocalTable(): void {
        const { revision } = this.options.cache;
        if (this.unreportedCrashes.length === 0 && revision >= this.reportedRevision) {
            this.localTable.restore(undefined);
        }
    }
}

function toRunName(upstream: UpstreamId, incarnation: number): string {
    return `${upstream}/${incarnation}`;
}
