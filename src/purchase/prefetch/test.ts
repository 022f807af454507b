import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamId, ZoneId } from "../../ids/index.js";
import { Artifact, planPrefetch, PrefetchTarget } from "./index.js";

const MODEL: Artifact = { name: "model", kind: "load_model", bytes: 100 };
const ADAPTER: Artifact = { name: "adapter", kind: "load_adapter", bytes: 10 };

function makeTarget(upstream: string, zone: string, loaded: string[] = []): PrefetchTarget {
    return { upstream: upstream as UpstreamId, zone: zone as ZoneId, loaded, freeBytes: 200 };
}

describe("planPrefetch", () => {
    const targets = [makeTarget("u1", "a"), makeTarget("u2", "a"), makeTarget("u3", "b")];

    it("spreads copies over zones and counts the existing ones", () => {
        const demand = [{ artifact: MODEL, copies: 2, requestsPerSecond: 1 }];
        const orders = planPrefetch({ demand, targets, budgetBytes: 1_000 });
        assert.deepEqual(orders.map(order => order.upstream), ["u1", "u3"]);
        const loaded = [makeTarget("u1", "a", ["model"]), ...targets.slice(1)];
        const later = planPrefetch({ demand, targets: loaded, budgetBytes: 1_000 });
        assert.deepEqual(later.map(order => order.upstream), ["u3"]);
    });

    it("loads the artifact with the most requests per byte first, within the store's rate", () => {
        const demand = [
            { artifact: MODEL, copies: 1, requestsPerSecond: 5 },
            { artifact: ADAPTER, copies: 3, requestsPerSecond: 1 },
        ];
        const orders = planPrefetch({ demand, targets, budgetBytes: 100 });
        assert.deepEqual(orders.map(order => order.artifact.name), ["adapter", "adapter", "adapter"]);
    });
});
