import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { makeAnnouncement } from "../fixtures/index.js";
import { UpstreamLoad } from "../load/index.js";
import { UpstreamRegistry } from "../registry/index.js";
import { PoolMembers } from "./index.js";

const POOL = "ledger" as PoolId;
const SLOTS = 6;

function makeMembers(ids: readonly string[]) {
    const clock = new VirtualClock();
    const registry = new UpstreamRegistry({ clock });
    for (const id of ids) registry.announce(makeAnnouncement({ id, pools: [POOL], slots: SLOTS }));
    const members = new PoolMembers({ clock, registry, pool: POOL });
    const fail = (load: UpstreamLoad): void => {
        load.markFailed(clock.monotonic());
        members.refresh(load);
    };
    return { clock, members, fail };
}

describe("PoolMembers", () => {
    it("does without an upstream that rests after a failure while others are there", () => {
        const { members, fail } = makeMembers(["a", "b", "c"]);
        fail(members.all[0]);
        assert.equal(members.freeSlots, 2 * SLOTS);
    });

    it("gives work to upstreams that rest where most of the pool does", () => {
        // Seat look-ups wait for half a second, again and again. Two of three ledgers were taken away, and each call that runs into its own
        // short deadline sends the last one to rest, with nothing wrong with it.
        const { members, fail } = makeMembers(["last"]);
        fail(members.all[0]);
        assert.equal(members.freeSlots, SLOTS);
    });

    it("lets them rest again once others have come back", async () => {
        const { clock, members, fail } = makeMembers(["a", "b", "c"]);
        fail(members.all[0]);
        fail(members.all[1]);
        assert.equal(members.freeSlots, 3 * SLOTS);
        await clock.advance(400);
        members.all[1].markHealthy();
        members.refresh(members.all[1]);
        assert.equal(members.freeSlots, 2 * SLOTS);
    });
});
