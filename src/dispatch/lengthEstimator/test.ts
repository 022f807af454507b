import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClassName, PoolId, WorkspaceId } from "../../ids/index.js";
import { LengthEstimator, LengthKey } from "./index.js";

function keyOf(workspace: string): LengthKey {
    return { workspace: workspace as WorkspaceId, className: "sheets" as ClassName, pool: "draft" as PoolId };
}

describe("LengthEstimator", () => {
    it("learns a workspace's own lengths", () => {
        const estimator = new LengthEstimator();
        for (let index = 0; index < 20; index++) estimator.record(keyOf("w1"), 100);
        for (let index = 0; index < 20; index++) estimator.record(keyOf("w2"), 400);
        assert.ok(Math.abs(estimator.predictMean(keyOf("w1"), 1_000) - 100) < 25);
        assert.ok(Math.abs(estimator.predictMean(keyOf("w2"), 1_000) - 400) < 100);
    });

    it("uses the lengths of the class for a new workspace, and a share of the bound without samples", () => {
        const estimator = new LengthEstimator();
        assert.equal(estimator.predictMean(keyOf("new"), 600), 300);
        for (let index = 0; index < 20; index++) estimator.record(keyOf("w1"), 100);
        assert.ok(estimator.predictMean(keyOf("new"), 600) < 125);
        assert.ok(estimator.predictQuantile(keyOf("new"), 0.9, 600) < 125);
    });

    it("never predicts more than the maximum length, and drops the least recently updated histogram", () => {
        const estimator = new LengthEstimator(10);
        for (let index = 0; index < 100; index++) estimator.record(keyOf(`w${index}`), 500);
        assert.equal(estimator.predictMean(keyOf("w1"), 50), 50);
    });
});
