import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DEFAULT_HTTP_LIMITS, MemoryFabric, MemoryHttpFabric, VirtualClock } from "../../ports/index.js";
import { OfferError, OfferReader } from "./index.js";

const PLATFORM = { host: "10.0.0.9", port: 80 };
const MAX_WAIT_MS = 60_000;

describe("OfferReader", () => {
    it("gives up on an answer whose body does not end", async () => {
        // Failure: nothing is purchased any more, since the task that buys waits for the body for good.
        const clock = new VirtualClock();
        const web = new MemoryHttpFabric(new MemoryFabric(clock, () => 1));
        await web.http(PLATFORM.host).serve(PLATFORM, DEFAULT_HTTP_LIMITS, async (_, res) => {
            res.head(200, []);
            await res.write("[");
        });
        const reader = new OfferReader(web.http("10.0.0.1"), clock, PLATFORM);
        const offers = await clock.runUntil(reader.read(), MAX_WAIT_MS);
        assert.ok(offers.swap().unsafeCoerce() instanceof OfferError);
    });
});
