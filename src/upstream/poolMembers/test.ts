import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, ZoneId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { makeAnnouncement } from "../fixtures/index.js";
import { UpstreamLoad } from "../upstreamLoad/index.js";
import { UpstreamRegistry } from "../upstreamRegistry/index.js";
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
    it("spares an upstream that backs off after a failure while others are available", () => {
        const { members, fail } = makeMembers(["a", "b", "c"]);
        fail(members.all[0]);
        assert.equal(members.freeSlots, 2 * SLOTS);
    });

    it("gives work to upstreams that back off if most of the pool does", () => {
        // Requests repeatedly wait for half a second: two of three upstreams were removed, and each call that exceeds
        // its own short deadline makes the last one back off although it is healthy.
        const { members, fail } = makeMembers(["last"]);
        fail(members.all[0]);
        assert.equal(members.freeSlots, SLOTS);
    });

    it("lets them back off again once others have recovered", async () => {
        const { clock, members, fail } = makeMembers(["a", "b", "c"]);
        fail(members.all[0]);
        fail(members.all[1]);
        assert.equal(members.freeSlots, 3 * SLOTS);
        await clock.advance(400);
        members.all[1].markHealthy();
        members.refresh(members.all[1]);
        assert.equal(members.freeSlots, 2 * SLOTS);
    });

    describe("a zone's evacuation", () => {
        const COLD_REQUESTS_PER_S = 2;
        const VOGAR = "vogar" as ZoneId;

        function makeZonedMembers() {
            const clock = new VirtualClock();
            const registry = new UpstreamRegistry({ clock });
            registry.announce(makeAnnouncement({ id: "a", pools: [POOL], slots: SLOTS, zone: VOGAR }));
            registry.announce(makeAnnouncement({ id: "b", pools: [POOL], slots: SLOTS, zone: "keflavik" }));
            const members = new PoolMembers({
                clock,
                registry,
                pool: POOL,
                coldRequestsPerS: () => COLD_REQUESTS_PER_S,
            });
            registry.onChange(upstream => members.update(upstream));
            return { clock, registry, members };
        }

        it("excludes its upstreams, even those that announce themselves later", () => {
            const { registry, members } = makeZonedMembers();
            registry.setEvacuatedZones([VOGAR], () => 0);
            assert.equal(members.freeSlots, SLOTS);
            registry.announce(makeAnnouncement({ id: "c", pools: [POOL], slots: SLOTS, zone: VOGAR }));
            registry.announce(makeAnnouncement({ id: "a", pools: [POOL], slots: SLOTS, zone: VOGAR, sequence: 2 }));
            assert.equal(members.freeSlots, SLOTS);
        });

        it("readmits them as cold, whatever they announced before", async () => {
            // Prevents upstreams that became cold in an evacuated zone from being overloaded before they announce it.
            const { clock, registry, members } = makeZonedMembers();
            registry.setEvacuatedZones([VOGAR], () => 3_000);
            registry.setEvacuatedZones([], () => 3_000);
            assert.equal(members.freeSlots, SLOTS + COLD_REQUESTS_PER_S);
            registry.announce(makeAnnouncement({ id: "a", pools: [POOL], slots: SLOTS, zone: VOGAR, sequence: 2 }));
            assert.equal(members.freeSlots, SLOTS + COLD_REQUESTS_PER_S);
            await clock.advance(3_000);
            members.refreshThrottled();
            assert.equal(members.freeSlots, 2 * SLOTS);
        });
    });
});
