import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RequestId, UpstreamId, ZoneId } from "../../ids/index.js";
import { SeededRandom, VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { makeTicket } from "../_lib/fixtures.js";
import { LocalDispatcher } from "../localDispatcher/index.js";
import { Completion, Grant, Refusal, Ticket } from "../ticket/index.js";

/** Time after the start in which an owner may not have heard of all upstreams, in milliseconds. */
const DISCOVERY_MS = 2_000;
const NOTHING_USED = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };

/** An owner of a queue with two upstreams of version "1.0" and two of version "2.0", one slot each. */
class MixedPool {
    readonly clock = new VirtualClock();
    readonly registry = new UpstreamRegistry({ clock: this.clock });
    /** The upstream of each granted request, and the reason for each refusal, in order. */
    readonly decisions: string[] = [];
    /** By request. */
    readonly grants = new Map<string, Grant>();
    readonly dispatcher = new LocalDispatcher({
        clock: this.clock,
        random: new SeededRandom(1),
        registry: this.registry,
        zone: "vogar" as ZoneId,
    });
    private sequence = 0;

    constructor() {
        this.announce();
    }

    /** Has all upstreams announce themselves, some of them with other fields. */
    announce(changes: Record<string, Parameters<typeof makeAnnouncement>[0]> = {}): void {
        this.sequence++;
        for (const [id, software_version] of [["u1", "1.0"], ["u2", "1.0"], ["u3", "2.0"], ["u4", "2.0"]]) {
            const fields = { id, slots: 1, software_version, sequence: this.sequence, ...changes[id] };
            this.registry.announce(makeAnnouncement(fields));
        }
    }

    async submit(request: string, fields: Partial<Record<keyof Ticket, unknown>> = {}): Promise<void> {
        const decision = this.dispatcher.submit(makeTicket({ request, ...fields }), new AbortController().signal);
        void decision.then(settled => settled.ifRight(grant => this.grants.set(request, grant)));
        void decision.then(settled =>
            this.decisions.push(settled.caseOf({
                Left: ({ reason }: Refusal) => `${request} ${reason}`,
                Right: ({ upstream }: Grant) => `${request} at ${upstream}`,
            }))
        );
        await this.clock.advance(1);
    }

    async complete(
        request: string,
        upstream: string,
        outcome: Pick<Completion, "outcome" | "mayHaveEnded"> = { outcome: "answered" },
    ): Promise<void> {
        const ids = { request: request as RequestId, upstream: upstream as UpstreamId };
        this.dispatcher.complete({ ...ids, ...outcome, ...NOTHING_USED });
        await this.clock.advance(1);
    }

    /** Lets time pass while the upstreams go on announcing themselves. */
    async wait(ms: number): Promise<void> {
        for (let passed = 0; passed < ms; passed += 500) {
            this.announce();
            await this.clock.advance(500);
        }
    }

    upstreamOf(request: string): string | undefined {
        return this.decisions.find(decision => decision.startsWith(`${request} at `))?.split(" at ")[1];
    }
}

describe("tickets of streams that certain software must continue", () => {
    it("get upstreams of that software only", async () => {
        const pool = new MixedPool();
        for (const request of ["a", "b"]) await pool.submit(request, { software: "2.0" });
        assert.deepEqual([pool.upstreamOf("a"), pool.upstreamOf("b")].sort(), ["u3", "u4"]);
    });

    it("wait for such an upstream without holding up the tickets behind them", async () => {
        // A free slot would go to the first ticket, which can't use it, and all others would wait behind it.
        const pool = new MixedPool();
        for (const request of ["a", "b", "late"]) await pool.submit(request, { software: "2.0" });
        for (const request of ["x", "y"]) await pool.submit(request);
        assert.deepEqual([pool.upstreamOf("x"), pool.upstreamOf("y")].sort(), ["u1", "u2"]);
        assert.equal(pool.upstreamOf("late"), undefined);
        await pool.complete("a", pool.upstreamOf("a")!);
        assert.equal(pool.upstreamOf("late"), pool.upstreamOf("a"));
    });

    it("get the next slot of such an upstream though many others wait for any", async () => {
        // New streams would take each slot of the few upstreams that can continue a stream.
        const pool = new MixedPool();
        for (const request of ["a", "b", "c", "d"]) await pool.submit(request);
        for (let number = 0; number < 20; number++) await pool.submit(`queued-${number}`);
        await pool.submit("resumed", { software: "1.0" });
        const first = ["a", "b", "c", "d"].find(request => ["u1", "u2"].includes(pool.upstreamOf(request)!))!;
        await pool.complete(first, pool.upstreamOf(first)!);
        assert.equal(pool.upstreamOf("resumed"), pool.upstreamOf(first));
    });

    it("are refused at once where no upstream runs that software", async () => {
        // The caller would wait in vain.
        const pool = new MixedPool();
        await pool.wait(DISCOVERY_MS);
        await pool.submit("lost", { software: "0.9" });
        assert.deepEqual(pool.decisions, ["lost no-upstream"]);
    });

    it("are refused while they wait, once the last such upstream leaves", async () => {
        const pool = new MixedPool();
        await pool.wait(DISCOVERY_MS);
        for (const request of ["a", "b", "late"]) await pool.submit(request, { software: "2.0" });
        pool.announce({ u3: { state: "leaving" }, u4: { state: "leaving" } });
        await pool.clock.advance(100);
        assert.ok(pool.decisions.includes("late no-upstream"));
    });

    it("wait for a moment at an owner that has just started and may not have heard of all upstreams", async () => {
        const pool = new MixedPool();
        await pool.submit("early", { software: "3.0" });
        pool.registry.announce(makeAnnouncement({ id: "u5", slots: 1, software_version: "3.0" }));
        await pool.clock.advance(50);
        assert.equal(pool.upstreamOf("early"), "u5");
    });

    it("wait for an upstream that rests after failures where all others ask their host to back off for long", async () => {
        // A stream would be cut though the upstream that began it is back within a second.
        const pool = new MixedPool();
        await pool.submit("a", { software: "2.0" });
        const resting = pool.upstreamOf("a")!;
        await pool.complete("a", resting, { outcome: "failed", mayHaveEnded: false });
        const backOffs = [{ upstream: resting === "u3" ? "u4" : "u3", leftMs: 20_000 }];
        await pool.submit("late", { software: "2.0", resumeOffset: 3, maxWaitMs: 2_000, backOffs });
        await pool.wait(1_000);
        assert.equal(pool.upstreamOf("late"), resting);
    });

    it("match no upstream whose software is unknown", async () => {
        const pool = new MixedPool();
        await pool.wait(DISCOVERY_MS);
        const unknown = { incarnation: 2, software_version: undefined };
        pool.announce({ u3: unknown, u4: unknown });
        await pool.submit("lost", { software: "2.0" });
        assert.deepEqual(pool.decisions, ["lost no-upstream"]);
    });

    describe("at an upstream that may have come back with other software at its address", () => {
        it("wait for its next announcement after a sign that it ended", async () => {
            // It crashed, and has not announced its next incarnation yet.
            const pool = new MixedPool();
            await pool.submit("a", { software: "2.0" });
            await pool.submit("b", { software: "2.0" });
            await pool.complete("b", pool.upstreamOf("b")!, { outcome: "failed", mayHaveEnded: true });
            await pool.clock.advance(600);
            await pool.submit("late", { software: "2.0" });
            assert.equal(pool.upstreamOf("late"), undefined);
            pool.announce();
            await pool.clock.advance(50);
            assert.equal(pool.upstreamOf("late"), pool.upstreamOf("b"));
        });

        it("get it at once after a failure that is no such sign", async () => {
            // A reset connection of an upstream that goes on listening would keep streams from going on there.
            const pool = new MixedPool();
            await pool.submit("a", { software: "2.0" });
            await pool.submit("b", { software: "2.0" });
            await pool.complete("b", pool.upstreamOf("b")!, { outcome: "failed", mayHaveEnded: false });
            await pool.clock.advance(600);
            await pool.submit("late", { software: "2.0" });
            assert.equal(pool.upstreamOf("late"), pool.upstreamOf("b"));
        });

        it("are not given a version by grants of other tickets, so that a new stream is not taken for one of the old software", async () => {
            const pool = new MixedPool();
            await pool.submit("new");
            await pool.clock.advance(1_100);
            await pool.submit("later");
            const versions = ["new", "later"].map(request => pool.grants.get(request)?.software);
            assert.ok(versions[0] !== undefined && versions[1] === undefined);
        });

        it("wait for its next announcement when the last one is old", async () => {
            const pool = new MixedPool();
            await pool.clock.advance(1_100);
            await pool.submit("late", { software: "2.0" });
            assert.equal(pool.upstreamOf("late"), undefined);
            pool.announce();
            await pool.clock.advance(50);
            assert.notEqual(pool.upstreamOf("late"), undefined);
        });
    });
});
