import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, RequestId, SoftwareVersion, WorkspaceId } from "../../ids/index.js";
import { groupStarts, listStarts, StreamStart } from "./index.js";

function makeStart(attempt: string, fields: Partial<StreamStart> = {}): StreamStart {
    return {
        attempt: attempt as RequestId,
        workspace: "butcher" as WorkspaceId,
        pool: "draft" as PoolId,
        software: "1.0" as SoftwareVersion,
        keepMs: 40_000,
        ...fields,
    };
}

describe("groupStarts", () => {
    it("joins starts that differ in their attempts only, and loses none", () => {
        const keyless = makeStart("d");
        const starts = [
            makeStart("a"),
            makeStart("b"),
            makeStart("c", { software: "2.0" as SoftwareVersion }),
            { ...keyless, workspace: undefined },
        ];
        const groups = groupStarts(starts);
        assert.deepEqual(groups.map(({ attempts }) => attempts.length), [2, 1, 1]);
        assert.deepEqual(listStarts(groups), starts);
    });
});
