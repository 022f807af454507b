import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Right } from "purify-ts";
import { Grant } from "../../dispatch/index.js";
import { PoolId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { CallTask, createProgress } from "../callTask/index.js";
import { RepeatBudget } from "../repeatBudget/index.js";
import { StallMove } from "./index.js";

const POOL = "drafting" as PoolId;
const SILENCE_MS = 2_000;

/**
 * A call that seeks another upstream.
 *
 * @param submit - What becomes of its ticket; it stays in the queue by default.
 */
function makeTask(
    clock: VirtualClock,
    repeats: RepeatBudget,
    submit: () => Promise<unknown> = () => new Promise(() => undefined),
    run: object = {},
): CallTask {
    const route = { kind: "stream", resumable: true, attempts: 2, targetMs: 100, gapMs: 100 };
    const ctx = {
        clock,
        repeats,
        random: { id: () => "ticket" },
        self: "host",
        zone: "zone",
        view: { routes: () => undefined },
        dispatcher: { submit, complete: () => undefined },
        sendGuard: { findBlock: () => undefined },
        crashes: { quarantineLeftMs: () => undefined },
        parts: { findQuarantine: () => undefined },
        software: { hasOther: () => true },
    };
    const call = { route, pool: POOL, head: { parts: [] }, body: Buffer.alloc(0), arrivedAt: 0, deadlineAt: 60_000 };
    return { ctx, call, run, answer: {}, progress: createProgress() } as unknown as CallTask;
}

describe("StallMove", () => {
    it("leaves a repeat to its call as soon as the attempt has ended", async () => {
        // Failure: a call whose silent upstream breaks off is given up, as its own search for another one holds the last repeat.
        const clock = new VirtualClock();
        const repeats = new RepeatBudget(clock, { ratio: 4, windowMs: 60_000, slack: 0 }, () => 1);
        repeats.recordRequest(POOL);
        const move = new StallMove(makeTask(clock, repeats), { upstream: "u1" } as Grant);
        move.expectBeginning();
        await clock.advance(SILENCE_MS);
        assert.equal(repeats.countLeft(POOL), 0);
        move.end();
        assert.equal(repeats.countLeft(POOL), 1);
    });

    it("leaves the attempt alone where its repeat has lapsed before another upstream was granted", async () => {
        // Failure: the call ends its attempt at a silent upstream although it may be sent to no other one, and waits until its time is over.
        const clock = new VirtualClock();
        const limits = { ratio: 0, windowMs: 1_000, slack: 4 };
        let entries = 1;
        const repeats = new RepeatBudget(clock, limits, () => entries);
        await clock.advance(limits.windowMs);
        const allowed = repeats.countLeft(POOL);
        const cancelled: string[] = [];
        const run = { isCancelled: false, cancel: (reason: string) => cancelled.push(reason) };
        const submit = async (): Promise<unknown> => {
            entries = 8;
            return Right({ upstream: "u2", target: {} });
        };
        const move = new StallMove(makeTask(clock, repeats, submit, run), { upstream: "u1" } as Grant);
        move.expectBeginning();
        await clock.advance(SILENCE_MS);
        assert.deepEqual([cancelled, move.end()], [[], undefined]);
        entries = 1;
        assert.equal(repeats.countLeft(POOL), allowed);
    });
});
