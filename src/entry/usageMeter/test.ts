import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, Incarnation } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { PositionCounter, UsageBatchCommand } from "../../usage/index.js";
import { UsageMeter } from "./index.js";

const LINE = {
    workspace: "hotel",
    pool: "draft",
    class: "summary",
    requests: 1,
    prompt_tokens: 8,
    completion_tokens: 5,
};
const LIMITS = { objectiveLeftMs: 1_000, deadlineLeftMs: 10_000 };

/** A replicator that makes usage durable when a test says so. */
class FakeReplicator {
    readonly waiting: { readonly position: number; readonly resolve: () => void; }[] = [];
    changes = 0;

    add(): void {}

    notifyChange(): void {
        this.changes++;
    }

    waitDurable(position: number): Promise<void> {
        return new Promise(resolve => this.waiting.push({ position, resolve }));
    }

    advance(durable: number): void {
        for (const { position, resolve } of this.waiting) {
            if (position <= durable) resolve();
        }
    }
}

function makeMeter() {
    const replicator = new FakeReplicator();
    const self = { host: "entry-1" as HostId, incarnation: "i" as Incarnation };
    const positions = new PositionCounter();
    const meter = new UsageMeter({ clock: new VirtualClock(), self, windowMs: 60_000, positions, replicator });
    return { replicator, meter };
}

function describeBatches(batches: readonly UsageBatchCommand[]): number[][] {
    return batches.map(({ sequence, sums }) => [sequence, sums[0].line.requests]);
}

describe("UsageMeter", () => {
    describe("record", () => {
        it("settles only once the line is durable", async () => {
            const { replicator, meter } = makeMeter();
            let isSettled = false;
            const recorded = meter.record(LINE, LIMITS).then(() => isSettled = true);
            await Promise.resolve();
            assert.deepEqual([replicator.changes, isSettled], [1, false]);
            replicator.advance(1);
            await recorded;
        });

        it("sums lines that arrive before the next report", () => {
            const { meter } = makeMeter();
            void meter.record(LINE, LIMITS);
            assert.deepEqual(describeBatches(meter.listChanges(0).batches), [[1, 1]]);
            void meter.record(LINE, LIMITS);
            void meter.record(LINE, LIMITS);
            assert.deepEqual(describeBatches(meter.listChanges(1).batches), [[2, 2]]);
        });
    });

    describe("listChanges", () => {
        it("returns each batch unchanged under its own number until the control log has it", () => {
            // Failure: a workspace is billed twice for one answer, because a resent batch has more usage in it than before.
            const { meter } = makeMeter();
            void meter.record(LINE, LIMITS);
            const first = meter.listChanges(0).batches;
            void meter.record(LINE, LIMITS);
            const both = meter.listChanges(0).batches;
            assert.deepEqual(both[0], first[0]);
            assert.deepEqual(describeBatches(both), [[1, 1], [2, 1]]);
            meter.dropRecorded(1);
            assert.deepEqual(describeBatches(meter.listChanges(0).batches), [[2, 1]]);
        });
    });
});
