import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Either } from "purify-ts";
import { HostId, PoolId, RequestId, UpstreamId, ZoneId } from "../../ids/index.js";
import { SeededRandom, VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { makeTicket } from "../_lib/fixtures.js";
import { ROUTED_POLICIES } from "../policies/index.js";
import { Completion, Grant, Refusal, Ticket } from "../ticket/index.js";
import { LocalDispatcher } from "./index.js";

type Decision = Either<Refusal, Grant>;

class Bench {
    readonly clock = new VirtualClock();
    readonly registry = new UpstreamRegistry({ clock: this.clock });
    readonly dispatcher = new LocalDispatcher({
        clock: this.clock,
        random: new SeededRandom(1),
        registry: this.registry,
        zone: "vogar" as ZoneId,
    });
    readonly settled: string[] = [];
    readonly preempted: string[] = [];
    private sequence = 1;

    constructor(slots: number) {
        this.announce(slots);
        this.dispatcher.onPreempt(request => this.preempted.push(request));
    }

    announce(slots: number, state: "ready" | "leaving" = "ready"): void {
        this.registry.announce(makeAnnouncement({ slots, state, sequence: this.sequence++ }));
    }

    submit(fields: Partial<Record<keyof Ticket, unknown>>, signal = new AbortController().signal): Promise<Decision> {
        const ticket = makeTicket(fields);
        const decision = this.dispatcher.submit(ticket, signal);
        void decision.then(settled => {
            this.settled.push(settled.caseOf({
                Left: refusal => `${ticket.request} ${refusal.reason}`,
                Right: () => ticket.request,
            }));
        });
        return decision;
    }

    complete(request: string, outcome: Completion["outcome"] = "answered"): void {
        this.dispatcher.complete({
            request: request as RequestId,
            upstream: "u1" as UpstreamId,
            outcome,
            promptTokens: 100,
            cachedTokens: 0,
            completionTokens: 50,
        });
    }
}

describe("LocalDispatcher", () => {
    describe("submit", () => {
        it("grants up to the slots, then in the order of tiers", async () => {
            const bench = new Bench(1);
            void bench.submit({ request: "first", tier: 3 });
            void bench.submit({ request: "low", tier: 2 });
            void bench.submit({ request: "high", tier: 1 });
            await bench.clock.advance(1);
            assert.deepEqual(bench.settled, ["first"]);
            bench.complete("first");
            await bench.clock.advance(1);
            bench.complete("high");
            await bench.clock.advance(1);
            assert.deepEqual(bench.settled, ["first", "high", "low"]);
        });

        it("never grants more than the slots over many completions", async () => {
            const bench = new Bench(2);
            const pool = "draft" as PoolId;
            for (let index = 0; index < 20; index++) {
                void bench.submit({ request: `r${index}`, firstTokenMs: 99_000, maxWaitMs: 99_000 });
            }
            for (let round = 0; round < 20; round++) {
                await bench.clock.advance(1);
                assert.ok(bench.dispatcher.countRunning(pool) <= 2);
                bench.complete(`r${round}`);
            }
            assert.equal(bench.settled.filter(text => !text.includes(" ")).length, 20);
        });

        it("refuses at its bound what nothing came free for", async () => {
            const bench = new Bench(1);
            void bench.submit({ request: "first" });
            void bench.submit({ request: "second", maxWaitMs: 5_000, firstTokenMs: 60_000 });
            await bench.clock.advance(5_100);
            assert.deepEqual(bench.settled, ["first", "second wait-expired"]);
        });

        it("refuses at once what has no hope", async () => {
            const bench = new Bench(1);
            void bench.submit({ request: "first" });
            const decision = await bench.submit({ request: "second", firstTokenMs: 500, maxWaitMs: 500 });
            assert.equal((decision.extract() as Refusal).reason, "over-capacity");
            assert.ok((decision.extract() as Refusal).retryAfterMs >= 100);
        });

        it("refuses what cannot meet its target as soon as that is certain", async () => {
            const bench = new Bench(1);
            void bench.submit({ request: "first" });
            void bench.submit({ request: "second", firstTokenMs: 500 });
            await bench.clock.advance(500);
            assert.deepEqual(bench.settled, ["first", "second shed"]);
        });

        it("settles with cancelled as soon as the caller goes, and gives the slot to the next", async () => {
            const bench = new Bench(1);
            const abort = new AbortController();
            void bench.submit({ request: "first" });
            void bench.submit({ request: "second" }, abort.signal);
            void bench.submit({ request: "third" });
            abort.abort();
            await bench.clock.advance(1);
            bench.complete("first");
            await bench.clock.advance(1);
            assert.deepEqual(bench.settled, ["first", "second cancelled", "third"]);
        });

        it("refuses with no-upstream when none has been there for a while", async () => {
            const bench = new Bench(1);
            bench.announce(1, "leaving");
            await bench.clock.advance(3_000);
            const decision = await bench.submit({});
            assert.equal((decision.extract() as Refusal).reason, "no-upstream");
        });
    });

    describe("an upstream that goes silent while nothing is asked", () => {
        // The first caller after a quiet hour waits for its time-out: its request went to an engine that crashed long ago.
        // While the queues are idle no timer runs that would have noticed the silence.
        it("gets no grant", async () => {
            const bench = new Bench(1);
            await bench.clock.advance(3_600);
            void bench.submit({ request: "first", maxWaitMs: 300 });
            await bench.clock.advance(400);
            assert.equal(bench.settled.includes("first"), false);
        });
    });

    describe("a completion that comes after its request was granted again", () => {
        // A pool serves fewer and fewer requests: now and then a failed attempt is reported after the retry was granted
        // elsewhere. The late report was taken for the retry's, whose own end then found no grant, and its slot stayed taken.
        it("does not hide the end of the second grant", async () => {
            const bench = new Bench(1);
            void bench.submit({ request: "first" });
            await bench.clock.advance(1);
            const usage = { promptTokens: 100, cachedTokens: 0, completionTokens: 0 };
            const request = "first" as RequestId;
            bench.dispatcher.complete({ request, upstream: "u0" as UpstreamId, outcome: "failed", ...usage });
            bench.complete("first");
            void bench.submit({ request: "second" });
            await bench.clock.advance(1);
            assert.deepEqual(bench.settled, ["first", "second"]);
        });
    });

    describe("forgetEntry", () => {
        it("frees the slots of a lost entry's grants and drops what it had waiting", async () => {
            const bench = new Bench(1);
            void bench.submit({ request: "lost", origin: "host-9" });
            void bench.submit({ request: "lost too", origin: "host-9" });
            void bench.submit({ request: "living" });
            await bench.clock.advance(1);
            bench.dispatcher.forgetEntry("host-9" as HostId);
            await bench.clock.advance(1);
            assert.deepEqual(bench.settled, ["lost", "lost too cancelled", "living"]);
        });
    });

    describe("preemption", () => {
        it("takes the place of the lowest resumable request for a target at risk", async () => {
            const bench = new Bench(2);
            void bench.submit({ request: "middle", tier: 1, resumable: true });
            void bench.submit({ request: "lowest", tier: 2, resumable: true });
            void bench.submit({ request: "urgent", tier: 0, firstTokenMs: 400 });
            await bench.clock.advance(1);
            assert.deepEqual(bench.preempted, ["lowest"]);
            bench.complete("lowest", "cancelled");
            await bench.clock.advance(1);
            assert.ok(bench.settled.includes("urgent"));
        });

        it("spares what cannot be resumed and what is not lower", async () => {
            const bench = new Bench(2);
            void bench.submit({ request: "same", tier: 1, resumable: true });
            void bench.submit({ request: "fixed", tier: 2, resumable: false });
            void bench.submit({ request: "urgent", tier: 1, firstTokenMs: 400 });
            await bench.clock.advance(500);
            assert.deepEqual(bench.preempted, []);
        });
    });

    describe("an answer that was preempted in a burst", () => {
        // A caller's summary stops in the middle and ends with an error: its slot went to a higher tier, and the burst lasted a
        // little longer than a summary may wait for its start.
        it("may wait twice as long to go on as for its start", async () => {
            const bench = new Bench(1);
            void bench.submit({ request: "busy" });
            void bench.submit({ request: "cut", tier: 2, maxWaitMs: 5_000, resumeOffset: 40, ageMs: 60_000 });
            await bench.clock.advance(9_900);
            assert.deepEqual(bench.settled, ["busy"]);
            await bench.clock.advance(200);
            assert.deepEqual(bench.settled, ["busy", "cut wait-expired"]);
        });
    });

    describe("adopt", () => {
        it("counts the running requests of a lost owner, so that slots are not filled twice", async () => {
            const first = new Bench(1);
            const second = new Bench(1);
            const ticket = makeTicket({ request: "r1" });
            const grant = (await first.submit({ request: "r1" })).extract() as Grant;
            second.dispatcher.adopt(ticket, grant, 0);
            void second.submit({ request: "r2" });
            await second.clock.advance(10);
            assert.deepEqual(second.settled, []);
            second.complete("r1");
            await second.clock.advance(10);
            assert.deepEqual(second.settled, ["r2"]);
        });
    });

    describe("a routed pool of a hundred engines", () => {
        it("sends a prompt where its shared parts were read before", async () => {
            // A fleet grows from a dozen engines to a hundred, and documents that were read once by one engine are read again by most: the choice
            // was offered a sample of the engines, in which the one that holds a document was missing two times in three.
            const clock = new VirtualClock();
            const registry = new UpstreamRegistry({ clock });
            for (let index = 0; index < 98; index++) {
                registry.announce(makeAnnouncement({ id: `u${index}`, slots: 24 }));
            }
            const random = new SeededRandom(1);
            const zone = "vogar" as ZoneId;
            const dispatcher = new LocalDispatcher({ clock, random, registry, zone, policies: ROUTED_POLICIES });
            const places = new Set<UpstreamId>();
            for (let index = 0; index < 20; index++) {
                const parts = [{ id: "itinerary", tokens: 6_000 }, { id: `own-${index}`, tokens: 500 }];
                const ticket = makeTicket({ request: `r${index}`, parts, promptTokens: 6_500 });
                const { request, upstream } = (await dispatcher.submit(ticket, new AbortController().signal))
                    .unsafeCoerce();
                places.add(upstream);
                const usage = { promptTokens: 6_500, cachedTokens: 0, completionTokens: 50 };
                dispatcher.complete({ request, upstream, outcome: "answered", ...usage });
                await clock.advance(50);
            }
            dispatcher.close();
            assert.equal(places.size, 1);
        });
    });
});
