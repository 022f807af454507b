import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { TurnQueue } from "./index.js";

describe("TurnQueue", () => {
    let turns: (() => void)[];
    let queue: TurnQueue;
    let steps: string[];

    beforeEach(() => {
        turns = [];
        steps = [];
        queue = new TurnQueue(callback => void turns.push(callback));
    });

    function add(name: string, count: number): void {
        let left = count;
        queue.add({
            step: () => {
                steps.push(name);
                return --left > 0;
            },
        });
    }

    function runTurn(): void {
        turns.shift()!();
    }

    it("runs one step of each task by turns", () => {
        // Failure: one task keeps the others waiting until all of its steps are done.
        add("long", 3);
        add("short", 1);
        while (turns.length > 0) runTurn();
        assert.deepEqual(steps, ["long", "short", "long", "long"]);
    });

    it("lets other events in after a bounded number of steps", () => {
        // Failure: many tasks together keep the event loop from everything else.
        for (let count = 0; count < 1_000; count++) add("task", 1);
        runTurn();
        assert.ok(steps.length < 100);
        while (turns.length > 0) runTurn();
        assert.equal(steps.length, 1_000);
    });

    it("schedules nothing while no task waits", () => {
        add("task", 1);
        runTurn();
        assert.equal(turns.length, 0);
        add("task", 1);
        assert.equal(turns.length, 1);
    });
});
