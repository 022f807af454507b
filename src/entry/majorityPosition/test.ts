import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UsageAck } from "../../control/index.js";
import { findMajorityPosition } from "./index.js";

function ack(storeId: string, position: number, rest: Partial<UsageAck> = {}): UsageAck {
    return { storeId, position, isVoter: true, voters: 5, recorded: 0, ...rest };
}

describe("findMajorityPosition", () => {
    it("is what the third of five voters has stored", () => {
        assert.equal(findMajorityPosition([ack("a", 9), ack("b", 4), ack("c", 7), ack("d", 1), ack("e", 0)]), 4);
    });

    it("is 0 when fewer than a majority has answered", () => {
        assert.equal(findMajorityPosition([ack("a", 9), ack("b", 4)]), 0);
        assert.equal(findMajorityPosition([]), 0);
    });

    it("leaves out hosts that are no voters, and counts each voter once", () => {
        const learner = ack("c", 9, { isVoter: false });
        assert.equal(findMajorityPosition([ack("a", 9), ack("b", 9), learner, ack("d", 5)]), 5);
        assert.equal(findMajorityPosition([ack("a", 9), ack("a", 9), ack("b", 9)]), 0);
    });

    it("leaves out a voter that was replaced and does not know it yet", () => {
        // Guards against usage that counts as durable by the word of a host whose journal nobody reads any more.
        const replaced = ack("a", 9, { configurationVersion: 7 });
        const [b, c, d] = ["b", "c", "d"].map(storeId => ack(storeId, 9, { configurationVersion: 12 }));
        assert.equal(findMajorityPosition([replaced, b, c]), 0);
        assert.equal(findMajorityPosition([replaced, b, c, d]), 9);
    });

    it("counts voters of a version that does not state its configuration", () => {
        const older = ack("a", 9);
        const [b, c] = ["b", "c"].map(storeId => ack(storeId, 9, { configurationVersion: 12 }));
        assert.equal(findMajorityPosition([older, b, c]), 9);
    });

    it("goes by the highest number of voters that is stated, as while the first voters join", () => {
        assert.equal(findMajorityPosition([ack("a", 9, { voters: 1 }), ack("b", 9, { voters: 5 })]), 0);
    });
});
