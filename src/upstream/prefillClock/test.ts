import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PrefillModel, PrefillWork } from "../prefillModel/index.js";
import { PrefillClock } from "./index.js";

const read = (tokens: number): PrefillWork => ({ tokens, held: 0 });

/** A tenth of a millisecond for each token, and 30 ms besides. */
class SimpleModel extends PrefillModel {
    override get baseMs(): number {
        return 30;
    }

    override readMs({ tokens }: PrefillWork): number {
        return 0.1 * tokens;
    }

    override learn(): void {}
}

describe("PrefillClock", () => {
    it("adds up what an engine has got", () => {
        const clock = new PrefillClock(new SimpleModel());
        clock.begin(read(1_000), 0);
        clock.begin(read(1_000), 0);
        assert.equal(clock.backlogMs(0), 200);
        assert.equal(clock.predictMs(read(500), 150), 30 + 50 + 50);
    });

    it("is idle again once nothing is left, however wrong it was", () => {
        const clock = new PrefillClock(new SimpleModel());
        const pending = clock.begin(read(10_000), 0);
        clock.finish(pending, 100);
        assert.equal(clock.backlogMs(100), 0);
    });

    it("is as long as what is left when a first token comes late", () => {
        // An engine takes twice as long for a prompt as was thought. By the old prediction it would be idle now, with two prompts still to read.
        const clock = new PrefillClock(new SimpleModel());
        const first = clock.begin(read(1_000), 0);
        clock.begin(read(1_000), 0);
        clock.begin(read(500), 0);
        clock.finish(first, 330);
        assert.equal(clock.backlogMs(330), 150 - 30);
    });

    it("learns an engine's speed from its first tokens", () => {
        const clock = new PrefillClock(new SimpleModel());
        for (let i = 0; i < 200; i++) {
            const now = i * 2_000;
            const pending = clock.begin(read(10_000), now);
            clock.finish(pending, now + 30 + 10_000 * 0.05);
        }
        assert.ok(Math.abs(clock.readMs(read(10_000)) - 500) < 50, `${clock.readMs(read(10_000))}`);
    });
});
