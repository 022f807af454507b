import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RecordingLogger } from "../../faultInjection/index.js";
import { ClassName, PoolId, RequestId, WorkspaceId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { RequestRegistry, RunningRequest } from "../../request/index.js";
import { reportUnfinishedRequests } from "./index.js";

function makeRun(clock: VirtualClock, id: string): RunningRequest {
    const identity = {
        id: id as RequestId,
        workspace: "fiskbud" as WorkspaceId,
        keyHash: undefined,
        className: "answers" as ClassName,
        tier: 0,
        pool: "drafting" as PoolId,
    };
    return new RunningRequest(identity, clock);
}

describe("reportUnfinishedRequests", () => {
    it("tells when a request came relative to the stop, and what it waits for", async () => {
        const clock = new VirtualClock();
        const logger = new RecordingLogger();
        const requests = new RequestRegistry();
        const stopAt = clock.monotonic();
        await clock.advance(400);
        const run = makeRun(clock, "late");
        requests.add(run);
        await clock.advance(300);
        run.waitFor("more");
        await clock.advance(200);
        reportUnfinishedRequests({ clock, logger, requests, stopAt });
        const [{ request, ageMs, arrivedAfterStopMs, waitsFor, waitingMs }] = logger.list("drain-unfinished");
        assert.deepEqual({ request, ageMs, arrivedAfterStopMs, waitsFor, waitingMs }, {
            request: "late",
            ageMs: 500,
            arrivedAfterStopMs: 400,
            waitsFor: "more",
            waitingMs: 200,
        });
    });

    it("logs no more than fifty requests", () => {
        const clock = new VirtualClock();
        const logger = new RecordingLogger();
        const requests = new RequestRegistry();
        for (let i = 0; i < 60; i++) requests.add(makeRun(clock, `request-${i}`));
        reportUnfinishedRequests({ clock, logger, requests, stopAt: clock.monotonic() });
        assert.equal(logger.list("drain-unfinished").length, 50);
    });
});
