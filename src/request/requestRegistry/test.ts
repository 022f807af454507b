import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClassName, PoolId, RequestId, WorkspaceId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { RunningRequest } from "../runningRequest/index.js";
import { RequestRegistry } from "./index.js";

function addRequest(registry: RequestRegistry, id: string): RunningRequest {
    const run = new RunningRequest(
        {
            id: id as RequestId,
            workspace: "fiskbud" as WorkspaceId,
            keyHash: undefined,
            className: "answers" as ClassName,
            tier: 0,
            pool: "drafting" as PoolId,
        },
        new VirtualClock(),
    );
    registry.add(run);
    return run;
}

describe("RequestRegistry", () => {
    describe("cancelUnanswered", () => {
        it("lets an answer that has begun go on, also while it waits for another upstream", () => {
            // Failure: a stream that is between two upstreams, or an answer that is no event stream, is cut before the exit.
            const registry = new RequestRegistry();
            const begun = addRequest(registry, "begun");
            begun.hasAnswerBegun = true;
            begun.waitFor("grant");
            const waiting = addRequest(registry, "waiting");
            registry.cancelUnanswered();
            assert.deepEqual([begun.cancelReason, waiting.cancelReason], [undefined, "stopping"]);
        });
    });
});
