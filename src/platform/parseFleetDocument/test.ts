import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseFleetDocument } from "./index.js";

const ROUTE = {
    name: "r-1",
    host: "ficu95.example",
    pathPrefix: "/lohu930/",
    kind: "streaming",
    timeoutMs: 8000,
    targetLatencyMs: 1500,
    priority: 2,
    weightedSplit: [{ service: "llm", weight: 90 }, { service: "app", weight: 10 }],
    maxAttempts: 1,
    authExempt: false,
    sticky: true,
    resumable: false,
    targetGapMs: 1000,
};
const CONFIG = {
    version: 7,
    routes: [ROUTE],
    services: [
        {
            name: "llm",
            maxConnections: 620,
            engine: { kvCapacity: 943946, kvBytes: 18432, stride: 5, pinMs: 4000, moves: true },
            scaling: { min: 1, max: 4, bootS: 4, spotPrice: 0.18, zonePrices: { vogar: 0.9 } },
        },
        { name: "app", maxConnections: 100 },
    ],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    tenants: [{ name: "hule930", apiKeys: ["k1", "k2"], priority: 1 }],
};

function parse(config: unknown) {
    return parseFleetDocument(Buffer.from(JSON.stringify(config)));
}

describe("parseFleetDocument", () => {
    it("turns a configuration into a fleet document", () => {
        const document = parse(CONFIG).unsafeCoerce();
        assert.equal(document.version, 7);
        assert.equal(document.routes[0].kind, "stream");
        assert.deepEqual(document.routes[0].targets, [{ pool: "llm", weight: 90 }, { pool: "app", weight: 10 }]);
        assert.equal(document.pools[0].engine?.tokensPerEvent, 5);
        assert.equal(document.pools[0].scaling?.bootMs, 4000);
        assert.deepEqual(document.workspaces, [{ workspace: "hule930", keys: ["k1", "k2"], tier: 1 }]);
    });

    it("converts the request rate of cold engines", () => {
        const [llm, app] = CONFIG.services;
        const services = [{ ...llm, coldS: 3, coldPerS: 9.5 }, { ...app, coldS: 0, coldPerS: 0 }];
        const { pools } = parse({ ...CONFIG, services }).unsafeCoerce();
        assert.deepEqual(pools[0].cold, { durationMs: 3_000, requestsPerSecond: 9.5 });
        assert.equal(pools[1].cold, undefined);
    });

    it("rejects bytes that are not UTF-8", () => {
        // Failure: two names that differ in such bytes are read as one.
        const source = Buffer.from(JSON.stringify(CONFIG).replace("hule930", "hule\xff"), "latin1");
        assert.match(parseFleetDocument(source).swap().map(err => err.message).orDefault(""), /not UTF-8/);
    });

    it("accepts unknown fields", () => {
        assert.ok(parse({ ...CONFIG, later: { more: 1 }, routes: [{ ...ROUTE, later: 1 }] }).isRight());
    });

    it("refuses truncated JSON and invalid or inconsistent values", () => {
        const bad: unknown[] = [
            { ...CONFIG, routes: [{ ...ROUTE, timeoutMs: 0 }] },
            { ...CONFIG, routes: [{ ...ROUTE, weightedSplit: [{ service: "llm", weight: 0 }] }] },
            { ...CONFIG, routes: [{ ...ROUTE, weightedSplit: undefined, service: "gone" }] },
            { ...CONFIG, routes: [ROUTE, { ...ROUTE, name: "r-2" }] },
            { ...CONFIG, tenants: [...CONFIG.tenants, { name: "other", apiKeys: ["k1"] }] },
            { ...CONFIG, version: undefined },
        ];
        for (const config of bad) assert.ok(parse(config).isLeft(), JSON.stringify(config).slice(0, 80));
        assert.ok(parseFleetDocument(Buffer.from(JSON.stringify(CONFIG).slice(0, -20))).isLeft());
    });
});
