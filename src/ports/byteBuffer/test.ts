import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../seededRandom/index.js";
import { ByteBuffer } from "./index.js";

describe("ByteBuffer", () => {
    it("returns the bytes in their order, however they are split", () => {
        const random = new SeededRandom(1);
        const bytes = Buffer.from(random.bytes(50_000));
        const buffer = new ByteBuffer();
        const taken: Buffer[] = [];
        let appended = 0;
        while (appended < bytes.length) {
            const end = Math.min(bytes.length, appended + random.integer(0, 3_000));
            buffer.append(bytes.subarray(appended, end));
            appended = end;
            if (random.next() < 0.5) taken.push(buffer.take(random.integer(0, 4_000)));
        }
        taken.push(buffer.take());
        assert.ok(Buffer.concat(taken).equals(bytes));
        assert.equal(buffer.length, 0);
    });

    it("leaves bytes unchanged that were taken or viewed before", () => {
        const buffer = new ByteBuffer();
        buffer.append(Buffer.from("abcd"));
        const taken = buffer.take(2);
        const viewed = buffer.view();
        for (let count = 0; count < 5_000; count++) buffer.append(Buffer.from("x"));
        assert.equal(`${taken} ${viewed}`, "ab cd");
        assert.equal(buffer.length, 5_002);
    });
});
