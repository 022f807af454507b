import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Lifecycle } from "./index.js";

describe("Lifecycle", () => {
    describe("close", () => {
        it("runs clean-ups in reverse order, and all of them if one fails", async () => {
            const closed: string[] = [];
            const lifecycle = new Lifecycle();
            lifecycle.addCleanUp(() => void closed.push("first"));
            lifecycle.addCleanUp(() => {
                throw new Error("second");
            });
            lifecycle.addCleanUp(() => void closed.push("third"));
            await assert.rejects(lifecycle.close(), AggregateError);
            assert.deepEqual(closed, ["third", "first"]);
        });

        it("ends tasks through the signal and waits for them", async () => {
            const lifecycle = new Lifecycle();
            let ended = false;
            lifecycle.run(async signal => {
                await new Promise(resolve => signal.addEventListener("abort", resolve));
                ended = true;
            }, err => assert.fail(String(err)));
            await lifecycle.close();
            assert.ok(ended);
        });
    });
});
