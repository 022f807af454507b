import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PrefillModel, PrefillWork } from "../prefillModel/index.js";
import { PrefillQueue } from "./index.js";

const uncached = (tokens: number): PrefillWork => ({ tokens, held: 0 });

/** 0.1 ms per token plus 30 ms. */
class LinearModel extends PrefillModel {
    override get baseMs(): number {
        return 30;
    }

    override prefillMs({ tokens }: PrefillWork): number {
        return 0.1 * tokens;
    }

    override learn(): void {}
}

describe("PrefillQueue", () => {
    it("adds up the prefill sent to an engine", () => {
        const queue = new PrefillQueue(new LinearModel());
        queue.add(uncached(1_000), 0);
        queue.add(uncached(1_000), 0);
        assert.equal(queue.backlogMs(0), 200);
        assert.equal(queue.predictFirstTokenMs(uncached(500), 150), 30 + 50 + 50);
    });

    it("is empty once no prompt is pending, however wrong the prediction was", () => {
        const queue = new PrefillQueue(new LinearModel());
        const pending = queue.add(uncached(10_000), 0);
        queue.finish(pending, 100);
        assert.equal(queue.backlogMs(100), 0);
    });

    it("is as long as the remaining prefill when a first token comes late", () => {
        // An engine takes twice the predicted time for a prompt. According to the old prediction it would be idle now,
        // with two prompts still pending.
        const queue = new PrefillQueue(new LinearModel());
        const first = queue.add(uncached(1_000), 0);
        queue.add(uncached(1_000), 0);
        queue.add(uncached(500), 0);
        queue.finish(first, 330);
        assert.equal(queue.backlogMs(330), 150 - 30);
    });

    it("learns an engine's speed from its first tokens", () => {
        const queue = new PrefillQueue(new LinearModel());
        for (let i = 0; i < 200; i++) {
            const now = i * 2_000;
            const pending = queue.add(uncached(10_000), now);
            queue.finish(pending, now + 30 + 10_000 * 0.05);
        }
        assert.ok(Math.abs(queue.prefillMs(uncached(10_000)) - 500) < 50, `${queue.prefillMs(uncached(10_000))}`);
    });
});
