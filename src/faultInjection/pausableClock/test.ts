import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../ports/index.js";
import { PausableClock } from "./index.js";

describe("PausableClock", () => {
    it("runs due callbacks in order once it is resumed, while its time goes on", async () => {
        const base = new VirtualClock();
        const clock = new PausableClock(base);
        const ran: string[] = [];
        const note = (name: string) => () => void ran.push(name);
        clock.after(10, note("first"));
        clock.after(20, note("cancelled")).cancel();
        const late = clock.after(20, note("cancelled while paused"));
        clock.after(30, note("second"));
        clock.pause();
        await base.advance(50);
        late.cancel();
        assert.equal(ran.length, 0);
        assert.equal(clock.monotonic(), 50);
        clock.resume();
        clock.after(10, note("third"));
        await base.advance(10);
        assert.deepEqual(ran, ["first", "second", "third"]);
    });
});
