import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, RequestId, UpstreamId, ZoneId } from "../../ids/index.js";
import { SeededRandom, VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { makeTicket } from "../_lib/fixtures.js";
import { DispatchObserver, Grant, LocalDispatcher, Refusal, Ticket, WaitingTicket } from "../index.js";

const POOL = "draft" as PoolId;
const UPSTREAMS = ["u1", "u2", "u3"];
const SLOTS = 2;
const TICK_MS = 25;
const RUNS = { numRuns: 60, seed: 20_261_202 };

type Step =
    | { readonly kind: "submit"; readonly tier: number; readonly workspace: number; readonly patience: number; }
    | { readonly kind: "complete"; readonly which: number; readonly outcome: "answered" | "failed" | "cancelled"; }
    | { readonly kind: "cancel"; readonly which: number; }
    | { readonly kind: "leave"; readonly which: number; }
    | { readonly kind: "advance"; readonly ms: number; };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("submit" as const),
            tier: fc.integer({ min: 0, max: 3 }),
            workspace: fc.integer({ min: 0, max: 4 }),
            patience: fc.constantFrom(300, 1_000, 5_000, 30_000),
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("complete" as const),
            which: fc.nat(20),
            outcome: fc.constantFrom("answered" as const, "failed" as const, "cancelled" as const),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("cancel" as const), which: fc.nat(20) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("leave" as const), which: fc.nat(5) }) },
    {
        weight: 3,
        arbitrary: fc.record({ kind: fc.constant("advance" as const), ms: fc.integer({ min: 1, max: 2_000 }) }),
    },
);

/** Applies steps to a dispatcher and records each decision that violates an invariant. */
class DispatchModel extends DispatchObserver {
    readonly clock = new VirtualClock();
    readonly registry = new UpstreamRegistry({ clock: this.clock });
    readonly dispatcher: LocalDispatcher;
    readonly errors: string[] = [];
    submitted = 0;
    settled = 0;
    private readonly waiting = new Map<RequestId, WaitingTicket>();
    private readonly running = new Map<RequestId, { ticket: Ticket; upstream: UpstreamId; }>();
    private readonly abortControllers = new Map<RequestId, AbortController>();
    private readonly leavingUpstreams = new Set<string>();
    private sequence = 0;

    constructor(random: number) {
        super();
        const { clock, registry } = this;
        const zone = "vogar" as ZoneId;
        this.dispatcher = new LocalDispatcher({
            clock,
            registry,
            zone,
            random: new SeededRandom(random),
            observer: this,
        });
        this.announceAll();
    }

    override queued(waiting: WaitingTicket): void {
        this.waiting.set(waiting.ticket.request, waiting);
    }

    override granted(granted: WaitingTicket, grant: Grant): void {
        const { ticket } = granted;
        this.waiting.delete(ticket.request);
        for (const other of this.waiting.values()) {
            if (other.ticket.tier < ticket.tier) this.errors.push(`tier ${ticket.tier} before ${other.ticket.tier}`);
        }
        if (this.leavingUpstreams.has(grant.upstream)) this.errors.push(`grant to the leaver ${grant.upstream}`);
        this.running.set(ticket.request, { ticket, upstream: grant.upstream });
        const onUpstream = [...this.running.values()].filter(({ upstream }) => upstream === grant.upstream);
        if (onUpstream.length > SLOTS) this.errors.push(`${onUpstream.length} requests in ${SLOTS} slots`);
    }

    override refused(waiting: WaitingTicket, refusal: Refusal): void {
        this.waiting.delete(waiting.ticket.request);
        if (refusal.retryAfterMs <= 0) this.errors.push("no time to come back");
    }

    override preempted(victim: WaitingTicket, beneficiary: WaitingTicket): void {
        if (victim.ticket.tier > beneficiary.ticket.tier) return;
        this.errors.push(`tier ${victim.ticket.tier} preempted for ${beneficiary.ticket.tier}`);
    }

    async applyStep(step: Step): Promise<void> {
        if (step.kind === "submit") this.submit(step);
        else if (step.kind === "complete") this.complete(pickKey(this.running, step.which), step.outcome);
        else if (step.kind === "cancel") this.abortControllers.get(pickKey(this.waiting, step.which)!)?.abort();
        else if (step.kind === "leave") this.leave(step.which);
        else await this.advance(step.ms);
        await this.clock.advance(0);
        this.checkWaitBounds();
    }

    /** Advances past all wait limits, so that each ticket is settled. */
    async finish(): Promise<void> {
        await this.advance(40_000);
        this.checkWaitBounds();
        if (this.settled !== this.submitted) this.errors.push(`${this.submitted - this.settled} never settled`);
        for (const request of [...this.running.keys()]) this.complete(request, "answered");
        await this.clock.advance(1);
        const { dispatcher } = this;
        if (dispatcher.countWaiting(POOL) + dispatcher.countRunning(POOL) > 0) {
            this.errors.push("something is left over");
        }
        dispatcher.close();
    }

    private submit(step: Extract<Step, { kind: "submit"; }>): void {
        const request = `r${this.submitted++}` as RequestId;
        const abort = new AbortController();
        this.abortControllers.set(request, abort);
        const { tier, patience } = step;
        const workspace = `w${step.workspace}`;
        const bounds = { firstTokenMs: patience, maxWaitMs: patience };
        const ticket = makeTicket({ request, tier, workspace, ...bounds, resumable: tier % 2 === 1 });
        void this.dispatcher.submit(ticket, abort.signal).then(() => this.settled++);
    }

    private complete(request: RequestId | undefined, outcome: "answered" | "failed" | "cancelled"): void {
        if (request === undefined) return;
        const { upstream } = this.running.get(request)!;
        this.running.delete(request);
        const usage = { promptTokens: 100, cachedTokens: 0, completionTokens: 60 };
        this.dispatcher.complete({ request, upstream, outcome, firstTokenMs: 100, tokenMs: 30, ...usage });
    }

    private leave(which: number): void {
        const id = UPSTREAMS[which];
        if (id === undefined) return;
        this.leavingUpstreams.add(id);
        this.announceAll();
    }

    private async advance(ms: number): Promise<void> {
        for (let remainingMs = ms; remainingMs > 0; remainingMs -= 500) {
            this.announceAll();
            await this.clock.advance(Math.min(remainingMs, 500));
        }
    }

    private announceAll(): void {
        this.sequence++;
        for (const id of UPSTREAMS) {
            const load = { running: 0, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 };
            const state = this.leavingUpstreams.has(id) ? "leaving" : "ready";
            this.registry.announce(makeAnnouncement({ id, state, sequence: this.sequence, slots: SLOTS, load }));
        }
    }

    private checkWaitBounds(): void {
        for (const { expiresAt, ticket } of this.waiting.values()) {
            if (this.clock.monotonic() > expiresAt + TICK_MS) {
                this.errors.push(`${ticket.request} waits past its bound`);
            }
        }
    }
}

function pickKey<Key>(map: ReadonlyMap<Key, unknown>, which: number): Key | undefined {
    return map.size === 0 ? undefined : [...map.keys()][which % map.size];
}

describe("dispatch decisions under random events", () => {
    it("respect tiers, wait limits and slots, and grant nothing on leaving upstreams", async () => {
        const steps = fc.array(stepArbitrary, { minLength: 20, maxLength: 80 });
        await fc.assert(
            fc.asyncProperty(steps, fc.nat(1_000), async (sequence, random) => {
                const model = new DispatchModel(random);
                for (const step of sequence) await model.applyStep(step);
                await model.finish();
                assert.deepEqual(model.errors, []);
            }),
            RUNS,
        );
    });
});
