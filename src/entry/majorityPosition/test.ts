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

    it("goes by the highest number of voters that is stated, as while the first voters join", () => {
        assert.equal(findMajorityPosition([ack("a", 9, { voters: 1 }), ack("b", 9, { voters: 5 })]), 0);
    });
});
