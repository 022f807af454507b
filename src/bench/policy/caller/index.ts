import { AttemptBudget, Completion, DEFAULT_RETRY_LIMITS, Grant, Ticket } from "../../../dispatch/index.js";
import { ClassName, PoolId, RequestId, UpstreamId, WorkspaceId } from "../../../ids/index.js";
import { Clock } from "../../../ports/index.js";
import { Deployment } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { Entry, Fleet } from "../fleet/index.js";
import { PolicySet } from "../policySet/index.js";
import { PlannedRequest } from "../traffic/index.js";

/** What became of one request, for the score. */
export interface RequestRecord {
    readonly planned: PlannedRequest;
    outcome: "open" | "answered" | "refused" | "failed";
    /** Monotonic times, in milliseconds. */
    firstTokenAt?: number;
    endedAt?: number;
    refusedFor?: string;
    /** Tokens that the caller has. */
    delivered: number;
    /** Tokens made for it that it never got, and prompt tokens processed again. */
    wasted: number;
    reclaimableTokens: number;
    attempts: number;
    preemptions: number;
    /** The entry that held the caller's connection was lost. */
    hasLostEntry: boolean;
}

type AttemptEnd = "done" | "lost" | "preempted" | "entry-lost";

/** How long a stalled stream is waited for before it is given up, in milliseconds. */
const STALL_MS = 500;
/** What a caller takes to notice a broken connection and come back, in milliseconds. */
const RECONNECT_MS = 50;

/** Plays the callers and the entries' part of each request: attempts, resumes, retries. */
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

    /** Whether any request has not ended. */
    get hasOpen(): boolean {
        return this.records.some(record => record.outcome === "open");
    }

    /** Makes one request and follows it to its end. */
    async make(planned: PlannedRequest): Promise<void> {
        const { clock, deployment, fleet } = this.options;
        const record: RequestRecord = {
            planned,
            outcome: "open",
            delivered: 0,
            wasted: 0,
            reclaimableTokens: 0,
            attempts: 0,
            preemptions: 0,
            hasLostEntry: false,
        };
        this.records.push(record);
        await clock.sleep(deployment.clientLatencyMs);
        for (;;) {
            const end = await this.askEntry(fleet.pickEntry(), record);
            if (end !== "entry-lost") return;
            record.hasLostEntry = true;
            if (!planned.shape.repeatable) return this.finish(record, "failed");
            record.wasted += record.delivered;
            record.delivered = 0;
            record.firstTokenAt = undefined;
            await clock.sleep(RECONNECT_MS);
        }
    }

    private async askEntry(entry: Entry, record: RequestRecord): Promise<AttemptEnd | undefined> {
        const budget = this.budgetOf(entry);
        const avoid: UpstreamId[] = [];
        budget.noteFirstAttempt();
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
            if (!this.mayTryAgain(record, budget)) {
                this.finish(record, "failed");
                return undefined;
            }
        }
    }

    private mayTryAgain(record: RequestRecord, budget: AttemptBudget): boolean {
        const { shape } = record.planned;
        if (!shape.repeatable) return false;
        const canResume = this.options.policySet.resumes && shape.resumable;
        if (!canResume) {
            record.wasted += record.delivered;
            record.delivered = 0;
        }
        return !this.options.policySet.limitsRetries || budget.tryTake(true);
    }

    private async attempt(
        entry: Entry,
        ticket: Ticket,
        grant: Grant,
        record: RequestRecord,
        onPreempt: (listener: () => void) => void,
    ): Promise<AttemptEnd> {
        const { clock, fleet } = this.options;
        const engine = this.options.findEngine(grant.upstream)!;
        const before = record.delivered;
        record.attempts++;
        const sentAt = clock.monotonic();
        let firstAt: number | undefined;
        let cachedTokens = 0;
        await clock.sleep(fleet.latency(entry.zone, engine.shape.zone));
        const end = await new Promise<AttemptEnd>(resolve => {
            const isLost = (): boolean => entry.crashedAt !== undefined;
            onPreempt(() => resolve("preempted"));
            engine.submit({
                request: ticket.request,
                priority: grant.priority,
                promptTokens: ticket.promptTokens,
                prefixes: ticket.prefixes,
                totalTokens: record.planned.answerTokens,
                offset: before,
                onStart: cached => {
                    cachedTokens = cached;
                    if (record.attempts > 1) record.wasted += ticket.promptTokens + before - cached;
                },
                onTokens: tokens => {
                    if (isLost()) return resolve("entry-lost");
                    firstAt ??= clock.monotonic();
                    record.firstTokenAt ??= clock.monotonic() + this.options.deployment.clientLatencyMs;
                    record.delivered += tokens;
                    if (engine.shape.reclaimable) record.reclaimableTokens += tokens;
                    fleet.progress(entry, ticket.pool, ticket.request, tokens);
                },
                onEnd: outcome => {
                    if (outcome === "done") resolve(isLost() ? "entry-lost" : "done");
                    else clock.after(firstAt === undefined ? 1 : STALL_MS, () => resolve("lost"));
                },
            });
        });
        if (end !== "done") engine.cancel(ticket.request);
        const made = record.delivered - before;
        this.tellOwner(entry, ticket, { end, grant, made, sentAt, firstAt, cachedTokens });
        return end;
    }

    private tellOwner(entry: Entry, ticket: Ticket, attempt: {
        readonly end: AttemptEnd;
        readonly grant: Grant;
        readonly made: number;
        readonly sentAt: number;
        readonly firstAt: number | undefined;
        readonly cachedTokens: number;
    }): void {
        const now = this.options.clock.monotonic();
        const { end, grant, made, firstAt } = attempt;
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
            firstTokenMs: firstAt === undefined ? undefined : firstAt - attempt.sentAt,
            tokenMs: firstAt === undefined || made < 2 ? undefined : (now - firstAt) / (made - 1),
            promptTokens: ticket.promptTokens,
            cachedTokens: attempt.cachedTokens,
            completionTokens: made,
        };
        this.options.fleet.complete(entry, ticket.pool, completion);
    }

    private makeTicket(entry: Entry, record: RequestRecord, avoid: readonly UpstreamId[]): Ticket {
        const { shape, workspace, id, atMs } = record.planned;
        const arrivedAt = atMs + this.options.deployment.clientLatencyMs;
        return {
            // A resumed or retried request is a new grant: its late completion must not be taken for the first one's.
            request: `${id}#${record.attempts}` as RequestId,
            origin: entry.host,
            workspace: workspace.id as WorkspaceId,
            className: shape.name as ClassName,
            tier: shape.tier,
            weight: workspace.weight,
            pool: shape.pool as PoolId,
            promptTokens: record.planned.promptTokens,
            maxTokens: shape.maxTokens,
            firstTokenMs: shape.firstTokenMs,
            tokenMs: shape.tokenMs,
            maxWaitMs: shape.maxWaitMs,
            guaranteedShare: shape.guaranteedShare,
            ageMs: this.options.clock.monotonic() - arrivedAt,
            prefixes: record.planned.prefixes,
            resumable: shape.resumable && this.options.policySet.resumes,
            repeatable: shape.repeatable,
            avoid: [...avoid],
            resumeOffset: record.delivered,
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
        if (outcome !== "answered") record.wasted += record.delivered;
        record.endedAt = this.options.clock.monotonic();
    }
}
