import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallerBudget, CallerHolding } from "../callerBudget/index.js";
import { BodyStorage } from "./index.js";

const LIMIT_BYTES = 100_000;

function makeHolding(bytes = Number.POSITIVE_INFINITY): CallerHolding {
    return new CallerBudget({ bytes }, () => 0).open();
}

describe("BodyStorage", () => {
    it("keeps the bytes in order, and gives back what it took", () => {
        // Failure: bytes are lost where the storage grows, or the budget shrinks with each body.
        const chunks = fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 40 });
        fc.assert(fc.property(chunks, fc.boolean(), (parts, isAnnounced) => {
            const whole = Buffer.concat(parts);
            const holding = makeHolding();
            const storage = new BodyStorage(holding, LIMIT_BYTES);
            if (isAnnounced) assert.equal(storage.reserve(whole.length), undefined);
            for (const part of parts) assert.equal(storage.append(part), undefined);
            assert.ok(whole.equals(storage.view()));
            assert.ok(holding.bytes >= whole.length);
            storage.drop();
            assert.equal(holding.bytes, 0);
        }));
    });

    it("takes the room of an announced length at once, and no more", () => {
        // Failure: callers learn that there is no room after they have sent their bodies.
        const holding = makeHolding();
        const storage = new BodyStorage(holding, LIMIT_BYTES);
        storage.reserve(LIMIT_BYTES);
        assert.equal(holding.bytes, LIMIT_BYTES);
        storage.append(Buffer.alloc(LIMIT_BYTES));
        assert.equal(holding.bytes, LIMIT_BYTES);
    });

    it("never takes more than the limit and the bytes that it moves", () => {
        // Failure: doubling takes twice the limit for a body just within it.
        const holding = makeHolding();
        const storage = new BodyStorage(holding, LIMIT_BYTES);
        for (let sent = 0; sent < LIMIT_BYTES; sent += 1_000) storage.append(Buffer.alloc(1_000));
        assert.equal(holding.bytes, LIMIT_BYTES);
    });

    it("leaves less than its size behind as it grows", () => {
        // Failure: bodies in chunks take twice their size, since what they have outgrown is collected later.
        const holding = makeHolding();
        const storage = new BodyStorage(holding, LIMIT_BYTES);
        let left = 0;
        for (let sent = 0; sent < LIMIT_BYTES; sent += 100) {
            const before = holding.bytes;
            storage.append(Buffer.alloc(100));
            if (holding.bytes !== before) left += before;
        }
        assert.ok(left < LIMIT_BYTES, `${left} bytes`);
    });

    it("refuses what is larger than allowed", () => {
        const storage = new BodyStorage(makeHolding(), LIMIT_BYTES);
        assert.equal(storage.reserve(LIMIT_BYTES + 1), "too-large");
        assert.equal(storage.append(Buffer.alloc(LIMIT_BYTES)), undefined);
        assert.equal(storage.append(Buffer.alloc(1)), "too-large");
    });

    it("refuses what the budget has no room for", () => {
        // Failure: the budget is used up, and bodies are stored nevertheless.
        const announced = new BodyStorage(makeHolding(1_000), LIMIT_BYTES);
        assert.equal(announced.reserve(1_001), "over-capacity");
        const inChunks = new BodyStorage(makeHolding(4_000), LIMIT_BYTES);
        assert.equal(inChunks.append(Buffer.alloc(1_500)), undefined);
        assert.equal(inChunks.append(Buffer.alloc(1_500)), "over-capacity");
    });
});
