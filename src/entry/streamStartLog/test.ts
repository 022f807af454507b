import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, RequestId, SoftwareVersion, WorkspaceId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { StreamStart } from "../../resumption/index.js";
import { PositionCounter } from "../../usage/index.js";
import { StreamStartLog } from "./index.js";

const BUTCHER = "butcher" as WorkspaceId;
const KEEP_MS = 10_000;

function makeStart(attempt: string): StreamStart {
    return {
        attempt: attempt as RequestId,
        workspace: BUTCHER,
        pool: "draft" as PoolId,
        software: "1.0" as SoftwareVersion,
        keepMs: KEEP_MS,
    };
}

describe("StreamStartLog", () => {
    function makeLog() {
        const clock = new VirtualClock();
        const positions = new PositionCounter();
        return { clock, positions, log: new StreamStartLog(clock, positions) };
    }

    function listAttempts(log: StreamStartLog, after: number): readonly string[] {
        return (log.listChanges(after).streams ?? []).flatMap(({ attempts }) => attempts);
    }

    it("reports what was recorded after a position", () => {
        const { positions, log } = makeLog();
        const first = log.record(makeStart("a"));
        positions.next();
        const second = log.record(makeStart("b"));
        assert.deepEqual([first, second], [1, 3]);
        assert.deepEqual(listAttempts(log, 0), ["a", "b"]);
        assert.deepEqual(listAttempts(log, first), ["b"]);
        assert.deepEqual(listAttempts(log, second), []);
    });

    it("reports starts again that the control log can't have, until they expire", async () => {
        // A control process that has lost its disk learns them from the entries.
        const { clock, log } = makeLog();
        log.record(makeStart("a"));
        log.dropRecorded();
        await clock.advance(KEEP_MS - 1);
        log.record(makeStart("b"));
        assert.deepEqual(listAttempts(log, 0), ["a", "b"]);
        await clock.advance(1);
        log.record(makeStart("c"));
        assert.deepEqual(listAttempts(log, 0), ["b", "c"]);
        assert.deepEqual(log.find(BUTCHER, "a" as RequestId), []);
    });
});
