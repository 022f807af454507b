import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HeldBytes } from "./index.js";

const FREE = 64 * 1024;

describe("HeldBytes", () => {
    it("bounds what all shares hold beyond a small part of each", () => {
        // Failure: as many faulty upstreams as there are calls fill the memory of the host.
        const held = new HeldBytes(100);
        const shares = Array.from({ length: 10 }, () => held.open());
        for (const share of shares) assert.equal(share.resize(FREE), true);
        assert.equal(shares[0].resize(FREE + 60), true);
        assert.equal(shares[1].resize(FREE + 60), false);
        assert.equal(shares[1].resize(FREE + 40), true);
        assert.equal(held.bytes, 100);
    });

    it("has room again once a share shrinks or is closed", () => {
        const held = new HeldBytes(100);
        const [first, second] = [held.open(), held.open()];
        first.resize(FREE + 100);
        first.resize(FREE + 30);
        assert.equal(second.resize(FREE + 70), true);
        first.close();
        first.close();
        assert.equal(held.bytes, 70);
        second.close();
        assert.equal(held.bytes, 0);
    });
});
