import { AttemptBudget, Completion, DEFAULT_RETRY_LIMITS, Grant, Ticket } from "../../../dispatch/index.js";
import { ClassName, PoolId, RequestId, UpstreamId, WorkspaceId } from "../../../ids/index.js";
import { Clock } from "../../../ports/index.js";
import { Deployment } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { Entry, Fleet } from "../fleet/index.js";
import { PolicySet } from "../policySet/index.js";
import { PlannedRequest } from "../traffic/index.js";

/** Progress and outcome of one request, from which the score is computed. */
export interface RequestRecord {
    readonly planned: PlannedRequest;
    outcome: "open" | "answered" | "refused" | "failed";
    /** Monotonic time at which the caller received its first token, in milliseconds. */
    firstTokenAt?: number;
    /** Monotonic time of the end, in milliseconds. */
    endedAt?: number;
    /** Reason of the refusal. */
    refusedFor?: string;
    /** Answer tokens that the caller has received and keeps. */
    deliveredTokens: number;
    /** Answer tokens delivered but then discarded, and tokens that a later attempt had to prefill. */
    wastedTokens: number;
    /** Tokens that reclaimable engines generated. */
    reclaimableTokens: number;
    attempts: number;
    preemptions: number;
    /** Whether an entry that held the caller's connection crashed. */
    hasLostEntry: boolean;
}

type AttemptOutcome = "done" | "lost" | "preempted" | "entry-lost";

/** Time after which an entry gives up a stream that has stalled. */
const STALL_TIMEOUT_MS = 500;
/** Time in which a caller notices a broken connection and reconnects. */
const RECONNECT_DELAY_MS = 50;

/** Simulates callers, and the attempts, resumptions and retries with which entries serve their requests. */
export class CallerFake {
    readonly records: RequestRecord[] = [];
    private readonly budgets = new Map<Entry, AttemptBudget>();

    constructor(
        private readonly options: {
            readonly clock: Clock;
            readonly deployment: Deployment;
            readonly policySet: PolicySet;
            readonly fleet: Fleet;
            readonly findEngine: (id: UpstreamId) => EngineFake | undefined;
        },
    ) {}

    /** Whether any request has not ended yet. */
    get hasOpenRequests(): boolean {
        return this.records.some(record => record.outcome === "open");
    }

    /**
     * Sends one request and processes it to its end. When its entry crashes, the caller repeats a repeatable request at
     * another entry; any other request fails.
     */
    async simulate(planned: PlannedRequest): Promise<void> {
        const { clock, deployment, fleet } = this.options;
        const record: RequestRecord = {
            planned,
            outcome: "open",
            deliveredTokens: 0,
            wastedTokens: 0,
            reclaimableTokens: 0,
            attempts: 0,
            preemptions: 0,
            hasLostEntry: false,
        };
        this.records.push(record);
        await clock.sleep(deployment.clientLatencyMs);
        for (;;) {
            const end = await this.callEntry(fleet.pickEntry(), record);
            if (end !== "entry-lost") return;
            record.hasLostEntry = true;
            if (!planned.classProfile.repeatable) return this.finish(record, "failed");
            record.wastedTokens += record.deliveredTokens;
            record.deliveredTokens = 0;
            record.firstTokenAt = undefined;
            await clock.sleep(RECONNECT_DELAY_MS);
        }
    }

    private async callEntry(entry: Entry, record: RequestRecord): Promise<AttemptOutcome | undefined> {
        const budget = this.budgetOf(entry);
        const avoid: UpstreamId[] = [];
        budget.recordFirstAttempt();
        for (;;) {
            const ticket = this.makeTicket(entry, record, avoid);
            let preempt = (): void => undefined;
            const decision = await this.options.fleet.dispatch(entry, ticket, () => preempt());
            if (!decision) return "entry-lost";
            const grant = decision.extract();
            if (!("upstream" in grant)) {
                record.refusedFor = grant.reason;
                this.finish(record, "refused");
                return undefined;
            }
            const end = await this.attempt(entry, ticket, grant, record, listener => {
                preempt = listener;
            });
            if (end === "entry-lost") return end;
            if (end === "done") {
                this.finish(record, "answered");
                return undefined;
            }
            if (end === "preempted") {
                record.preemptions++;
                continue;
            }
            avoid.push(grant.upstream);
            if (!this.mayRetry(record, budget)) {
                this.finish(record, "failed");
                return undefined;
            }
        }
    }

    /** Whether another attempt may be made. Counts the delivered tokens as wasted when that attempt can't resume the answer. */
    private mayRetry(record: RequestRecord, budget: AttemptBudget): boolean {
        const { classProfile: profile } = record.planned;
        if (!profile.repeatable) return false;
        const canResume = this.options.policySet.resumesAnswers && profile.resumable;
        if (!canResume) {
            record.wastedTokens += record.deliveredTokens;
            record.deliveredTokens = 0;
        }
        return !this.options.policySet.limitsRetries || budget.tryTake(true);
    }

    private async attempt(
        entry: Entry,
        ticket: Ticket,
        grant: Grant,
        record: RequestRecord,
        onPreempt: (listener: () => void) => void,
    ): Promise<AttemptOutcome> {
        const { clock, fleet } = this.options;
        const engine = this.options.findEngine(grant.upstream)!;
        const deliveredBefore = record.deliveredTokens;
        record.attempts++;
        const sentAt = clock.monotonic();
        let firstTokenAtEntry: number | undefined;
        let cachedTokens = 0;
        await clock.sleep(fleet.latency(entry.zone, engine.profile.zone));
        const end = await new Promise<AttemptOutcome>(resolve => {
            const isEntryLost = (): boolean => entry.crashedAt !== undefined;
            onPreempt(() => resolve("preempted"));
            engine.submit({
                request: ticket.request,
                priority: grant.priority,
                promptTokens: ticket.promptTokens,
                prefixes: ticket.prefixes,
                totalTokens: record.planned.answerTokens,
                resumeOffset: deliveredBefore,
                onStart: cachedCount => {
                    cachedTokens = cachedCount;
                    if (record.attempts > 1) record.wastedTokens += ticket.promptTokens + deliveredBefore - cachedCount;
                },
                onTokens: tokens => {
                    if (isEntryLost()) return resolve("entry-lost");
                    firstTokenAtEntry ??= clock.monotonic();
                    record.firstTokenAt ??= clock.monotonic() + this.options.deployment.clientLatencyMs;
                    record.deliveredTokens += tokens;
                    if (engine.profile.reclaimable) record.reclaimableTokens += tokens;
                    fleet.progress(entry, ticket.pool, ticket.request, tokens);
                },
                onEnd: outcome => {
                    if (outcome === "done") resolve(isEntryLost() ? "entry-lost" : "done");
                    else clock.after(firstTokenAtEntry === undefined ? 1 : STALL_TIMEOUT_MS, () => resolve("lost"));
                },
            });
        });
        if (end !== "done") engine.cancel(ticket.request);
        const generatedTokens = record.deliveredTokens - deliveredBefore;
        this.reportCompletion(entry, ticket, { end, grant, generatedTokens, sentAt, firstTokenAtEntry, cachedTokens });
        return end;
    }

    private reportCompletion(entry: Entry, ticket: Ticket, attempt: {
        readonly end: AttemptOutcome;
        readonly grant: Grant;
        readonly generatedTokens: number;
        readonly sentAt: number;
        readonly firstTokenAtEntry: number | undefined;
        readonly cachedTokens: number;
    }): void {
        const now = this.options.clock.monotonic();
        const { end, grant, generatedTokens, firstTokenAtEntry } = attempt;
        const outcome = {
            "done": "answered",
            "lost": "failed",
            "preempted": "cancelled",
            "entry-lost": "cancelled",
        } as const;
        const completion: Completion = {
            request: ticket.request,
            upstream: grant.upstream,
            outcome: outcome[end],
            firstTokenMs: firstTokenAtEntry === undefined ? undefined : firstTokenAtEntry - attempt.sentAt,
            tokenMs: firstTokenAtEntry === undefined || generatedTokens < 2
                ? undefined
                : (now - firstTokenAtEntry) / (generatedTokens - 1),
            promptTokens: ticket.promptTokens,
            cachedTokens: attempt.cachedTokens,
            completionTokens: generatedTokens,
        };
        this.options.fleet.complete(entry, ticket.pool, completion);
    }

    private makeTicket(entry: Entry, record: RequestRecord, avoid: readonly UpstreamId[]): Ticket {
        const { classProfile: profile, workspace, id, atMs } = record.planned;
        const arrivedAt = atMs + this.options.deployment.clientLatencyMs;
        return {
            // Each attempt has an ID of its own, so that a late completion isn't attributed to another attempt's grant.
            request: `${id}#${record.attempts}` as RequestId,
            origin: entry.host,
            workspace: workspace.id as WorkspaceId,
            className: profile.name as ClassName,
            tier: profile.tier,
            weight: workspace.weight,
            pool: profile.pool as PoolId,
            promptTokens: record.planned.promptTokens,
            maxTokens: profile.maxTokens,
            firstTokenMs: profile.firstTokenMs,
            tokenMs: profile.tokenMs,
            maxWaitMs: profile.maxWaitMs,
            guaranteedShare: profile.guaranteedShare,
            ageMs: this.options.clock.monotonic() - arrivedAt,
            prefixes: record.planned.prefixes,
            resumable: profile.resumable && this.options.policySet.resumesAnswers,
            repeatable: profile.repeatable,
            avoid: [...avoid],
            resumeOffset: record.deliveredTokens,
        };
    }

    private budgetOf(entry: Entry): AttemptBudget {
        const known = this.budgets.get(entry);
        if (known) return known;
        const budget = new AttemptBudget(this.options.clock, DEFAULT_RETRY_LIMITS);
        this.budgets.set(entry, budget);
        return budget;
    }

    private finish(record: RequestRecord, outcome: RequestRecord["outcome"]): void {
        record.outcome = outcome;
        if (outcome !== "answered") record.wastedTokens += record.deliveredTokens;
        record.endedAt = this.options.clock.monotonic();
    }
}
