import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LogFields, Logger, SilentLogger } from "../../logging/index.js";
import { DEFAULT_HTTP_LIMITS, MemoryFabric, MemoryHttpFabric, VirtualClock } from "../../ports/index.js";
import { OfferError, OfferReader } from "./index.js";

const PLATFORM = { host: "10.0.0.9", port: 80 };
const MAX_WAIT_MS = 60_000;
const DEPTH = 100_000;

class WarningLog extends Logger {
    constructor(private readonly warnings: LogFields[]) {
        super();
    }

    warn(_: string, fields: LogFields = {}): void {
        this.warnings.push(fields);
    }

    debug(): void {}
    info(): void {}
    error(): void {}
}

function makeOffer(zone: string): string {
    const numbers = { available: 1, price_per_hour: 1, start_ms: 1, billed_minimum_ms: 1 };
    return JSON.stringify({ zone, pool: "draft", reclaimable: false, ...numbers });
}

describe("OfferReader", () => {
    it("keeps the other offers of a list with one that can't be used", async () => {
        // Failure: one odd offer of another writer stops all purchases, in every zone.
        const clock = new VirtualClock();
        const web = new MemoryHttpFabric(new MemoryFabric(clock, () => 1));
        const deep = "[".repeat(DEPTH) + "]".repeat(DEPTH);
        const texts = [makeOffer("a"), "null", "[]", `{"zone":${deep}}`, `{"available":1e400}`, makeOffer("b")];
        await web.http(PLATFORM.host).serve(PLATFORM, DEFAULT_HTTP_LIMITS, async (_, res) => {
            res.head(200, []);
            res.end(`[${texts.join(",")}]`);
        });
        const warnings: LogFields[] = [];
        const logger = new WarningLog(warnings);
        const reader = new OfferReader(web.http("10.0.0.1"), clock, PLATFORM, { logger });
        const offers = await clock.runUntil(reader.read(), MAX_WAIT_MS);
        assert.deepEqual(offers.orDefault([]).map(({ zone }) => zone), ["a", "b"]);
        assert.deepEqual(warnings.map(({ entries }) => entries), [4]);
    });

    it("gives up on an answer whose body does not end", async () => {
        // Failure: nothing is purchased any more, since the task that buys waits for the body for good.
        const clock = new VirtualClock();
        const web = new MemoryHttpFabric(new MemoryFabric(clock, () => 1));
        await web.http(PLATFORM.host).serve(PLATFORM, DEFAULT_HTTP_LIMITS, async (_, res) => {
            res.head(200, []);
            await res.write("[");
        });
        const reader = new OfferReader(web.http("10.0.0.1"), clock, PLATFORM, { logger: new SilentLogger() });
        const offers = await clock.runUntil(reader.read(), MAX_WAIT_MS);
        assert.ok(offers.swap().unsafeCoerce() instanceof OfferError);
    });
});
