import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Offer, PLATFORM_PATHS } from "../../protocol/index.js";
import { MemoryWorld } from "../_lib/memoryWorld.js";
import { StartRequest, UpstreamProvisioner } from "../upstreamProvisioner/index.js";
import { EmulatedPlatform, PlatformConfig } from "./index.js";

const TIMEOUT_MS = 60_000;
const MICRO_CREDITS_PER_SECOND = 3_600;
const OFFER: Offer = {
    zone: "barka",
    pool: "draft",
    reclaimable: true,
    available: 2,
    price_per_hour: 3_600 * MICRO_CREDITS_PER_SECOND,
    start_ms: 3_000,
    billed_minimum_ms: 10_000,
};
const START = { order_id: "o1", fencing_token: 5, action: "start", zone: "barka", pool: "draft", reclaimable: true };
const REPORT = {
    report_id: "w1",
    fencing_token: 5,
    window_start: 60_000,
    window_ms: 60_000,
    lines: [{ workspace: "hotel", pool: "draft", class: "chat", requests: 1, prompt_tokens: 9, completion_tokens: 3 }],
};

class RecordingProvisioner extends UpstreamProvisioner {
    readonly log: string[] = [];

    async start({ id }: StartRequest): Promise<void> {
        this.log.push(`start ${id}`);
    }

    async stop(id: string): Promise<void> {
        this.log.push(`stop ${id}`);
    }

    reclaim(id: string, noticeMs: number): void {
        this.log.push(`reclaim ${id} in ${noticeMs}`);
    }
}

async function startPlatform(overrides: Partial<PlatformConfig> = {}) {
    const world = new MemoryWorld();
    const provisioner = new RecordingProvisioner();
    const platform = new EmulatedPlatform(world.ports("platform"), provisioner, {
        address: { host: "platform", port: 0 },
        offers: [OFFER],
        checksFence: true,
        weights: { ratePerSecond: 1, burst: 2 },
        weightBytes: 16,
        ...overrides,
    });
    const address = await platform.start();
    const send = (path: string, body: unknown): Promise<number> =>
        world.clock.runUntil(world.postForStatus(address, path, body), TIMEOUT_MS);
    return { world, provisioner, platform, address, send };
}

describe("EmulatedPlatform", () => {
    describe("orders", () => {
        it("starts an upstream after the start delay, and bills the minimum", async () => {
            const { world, provisioner, platform, send } = await startPlatform();
            assert.equal(await send(PLATFORM_PATHS.orders, START), 200);
            await world.clock.advance(2_999);
            assert.deepEqual(provisioner.log, []);
            await world.clock.advance(1);
            assert.deepEqual(provisioner.log, ["start draft-barka-p1"]);
            await send(PLATFORM_PATHS.orders, { ...START, order_id: "o2", action: "stop", upstream: "draft-barka-p1" });
            assert.equal(platform.stats().orders.spent, 10 * MICRO_CREDITS_PER_SECOND);
        });

        it("executes an order whose answer is lost, and answers its resend with the first reply", async () => {
            const { platform, send } = await startPlatform();
            platform.addFaults({ kind: "lost" });
            assert.equal(await send(PLATFORM_PATHS.orders, START), 0);
            assert.equal(await send(PLATFORM_PATHS.orders, START), 200);
            const { started, repeats } = platform.stats().orders;
            assert.deepEqual([started, repeats], [1, 1]);
        });

        it("refuses an order beyond what is on offer", async () => {
            const { send } = await startPlatform();
            assert.equal(await send(PLATFORM_PATHS.orders, { ...START, count: 3 }), 409);
            assert.equal(await send(PLATFORM_PATHS.orders, { ...START, order_id: "o2", zone: "sohar" }), 404);
        });

        it("refuses an old fencing token, or executes the order and counts the reversal if it doesn't check tokens", async () => {
            const old = { ...START, order_id: "o2", fencing_token: 4 };
            const strict = await startPlatform();
            const lax = await startPlatform({ checksFence: false });
            await strict.send(PLATFORM_PATHS.orders, START);
            await lax.send(PLATFORM_PATHS.orders, START);
            assert.equal(await strict.send(PLATFORM_PATHS.orders, old), 409);
            assert.equal(await lax.send(PLATFORM_PATHS.orders, old), 200);
            assert.equal(strict.platform.stats().orders.reversals, 0);
            assert.equal(lax.platform.stats().orders.reversals, 1);
        });

        it("reclaims a zone's reclaimable upstreams with notice, and offers none there", async () => {
            const { world, provisioner, platform, send } = await startPlatform();
            await send(PLATFORM_PATHS.orders, { ...START, count: 2 });
            await world.clock.advance(3_000);
            platform.orders.reclaimZone("barka", 5_000);
            assert.deepEqual(provisioner.log.slice(2), [
                "reclaim draft-barka-p1 in 5000",
                "reclaim draft-barka-p2 in 5000",
            ]);
            assert.equal(await send(PLATFORM_PATHS.orders, { ...START, order_id: "o2" }), 409);
        });
    });

    describe("usage reports", () => {
        it("accepts a resent report with the same figures, and lists its id if the figures differ", async () => {
            const { platform, send } = await startPlatform();
            await send(PLATFORM_PATHS.usageReports, REPORT);
            await send(PLATFORM_PATHS.usageReports, { ...REPORT, fencing_token: 6 });
            assert.equal(platform.stats().usage.conflicting, 0);
            await send(PLATFORM_PATHS.usageReports, { ...REPORT, fencing_token: 6, lines: [] });
            assert.deepEqual(platform.usage.conflictingIds(), ["w1"]);
        });

        it("counts a window under two report ids as doubled, unless one of them is an adjustment", async () => {
            const { platform, send } = await startPlatform();
            await send(PLATFORM_PATHS.usageReports, REPORT);
            await send(PLATFORM_PATHS.usageReports, { ...REPORT, report_id: "a1", adjusts: 0 });
            assert.equal(platform.stats().usage.doubledWindows, 0);
            await send(PLATFORM_PATHS.usageReports, { ...REPORT, report_id: "w2" });
            assert.equal(platform.stats().usage.doubledWindows, 1);
        });
    });

    describe("the weight store", () => {
        it("limits fetches to the burst, and states when to retry", async () => {
            const { world, platform, address } = await startPlatform();
            const fetchOne = () =>
                world.client.send({
                    address,
                    method: "GET",
                    path: `${PLATFORM_PATHS.weights}draft`,
                    headers: [],
                    newConnection: false,
                    connectTimeoutMs: 1_000,
                    headTimeoutMs: 1_000,
                });
            const replies = await world.clock.runUntil(Promise.all([fetchOne(), fetchOne(), fetchOne()]), TIMEOUT_MS);
            assert.deepEqual(replies.map(reply => reply.unsafeCoerce().status), [200, 200, 429]);
            const wait = replies[2].unsafeCoerce().headers.find(([name]) => name === "retry-after")?.[1];
            await world.clock.advance(Number(wait) * 1_000);
            assert.equal((await world.clock.runUntil(fetchOne(), TIMEOUT_MS)).unsafeCoerce().status, 200);
            assert.deepEqual(platform.stats().weights, { fetches: 3, refusals: 1 });
        });
    });
});
