import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { VirtualClock } from "../../ports/index.js";
import { Batch, EngineTiming, Sequence } from "./index.js";

const TIMING: EngineTiming = {
    slots: 2,
    stepMs: 10,
    stepMsPerRequest: 0,
    prefillMsPerToken: 0,
    prefillTokensPerStep: 100,
    preemptsSlots: true,
};

/** A request of some tokens that records its tokens and preemptions. */
class TestSequence extends Sequence {
    tokens = 0;
    /** Names of the requests that stayed, for each preemption. */
    readonly preemptions: string[][] = [];

    constructor(readonly name: string, priority: number, private readonly answerTokens: number) {
        super(priority);
    }

    override get memoryTokens(): number {
        return 10 + this.tokens;
    }

    override recordPreemption(others: readonly Sequence[]): void {
        this.preemptions.push(others.map(other => (other as TestSequence).name));
    }

    startPrefill(): number {
        return 10;
    }

    emitToken(): boolean {
        return ++this.tokens >= this.answerTokens;
    }
}

describe("Batch", () => {
    let clock: VirtualClock;
    let stop: AbortController;

    beforeEach(() => {
        clock = new VirtualClock();
        stop = new AbortController();
    });

    afterEach(() => stop.abort());

    function startBatch(timing: Partial<EngineTiming> = {}): Batch {
        const batch = new Batch(clock, { ...TIMING, ...timing });
        void batch.run(stop.signal);
        return batch;
    }

    it("gives the slot of the newest of the least urgent requests to a more urgent one", async () => {
        const batch = startBatch();
        const [older, newer] = [new TestSequence("older", 2, 50), new TestSequence("newer", 2, 50)];
        batch.add(older);
        batch.add(newer);
        await clock.advance(35);
        batch.add(new TestSequence("urgent", 0, 50));
        await clock.advance(10);
        assert.deepEqual(newer.preemptions, [["older"]]);
        assert.deepEqual(older.preemptions, []);
        assert.equal(batch.waitingCount, 1);
    });

    it("lets a request wait while all slots are taken by equally urgent ones", async () => {
        const batch = startBatch();
        for (const name of ["a", "b", "c"]) batch.add(new TestSequence(name, 1, 50));
        await clock.advance(50);
        assert.deepEqual([batch.runningCount, batch.waitingCount], [2, 1]);
    });

    it("puts the newest of the least urgent requests back once their answers exceed the memory", async () => {
        const batch = startBatch({ slots: 3, memoryTokens: 45 });
        const names = ["first", "urgent", "last"];
        const sequences = names.map(name => new TestSequence(name, name === "urgent" ? 0 : 1, 50));
        for (const sequence of sequences) batch.add(sequence);
        await clock.advance(100);
        assert.deepEqual(sequences.map(({ preemptions }) => preemptions.length), [0, 0, 1]);
        assert.deepEqual(sequences[2].preemptions, [["urgent", "first"]]);
    });

    it("computes the prompt of a request that was put back again, and completes it", async () => {
        const batch = startBatch({ slots: 2 });
        const victim = new TestSequence("victim", 2, 6);
        batch.add(victim);
        batch.add(new TestSequence("other", 1, 4));
        await clock.advance(25);
        batch.add(new TestSequence("urgent", 0, 3));
        await clock.advance(200);
        assert.deepEqual([victim.tokens, victim.preemptions.length], [6, 1]);
        assert.equal(batch.runningCount, 0);
    });
});
