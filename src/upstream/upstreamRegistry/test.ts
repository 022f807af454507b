import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, UpstreamId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { makeAnnouncement } from "../fixtures/index.js";
import { UpstreamRegistry } from "./index.js";

const ID = "u1" as UpstreamId;
const POOL = "draft" as PoolId;

function makeRegistry() {
    const clock = new VirtualClock();
    return { clock, registry: new UpstreamRegistry({ clock }) };
}

describe("UpstreamRegistry", () => {
    describe("announce", () => {
        it("accepts a higher incarnation or sequence and nothing else", () => {
            const { registry } = makeRegistry();
            assert.ok(registry.announce(makeAnnouncement({ incarnation: 2, sequence: 5 })));
            assert.ok(!registry.announce(makeAnnouncement({ incarnation: 2, sequence: 5 })));
            assert.ok(!registry.announce(makeAnnouncement({ incarnation: 1, sequence: 9 })));
            assert.ok(registry.announce(makeAnnouncement({ incarnation: 3, sequence: 1 })));
        });

        it("lists by the pools of the newest announcement", () => {
            const { registry } = makeRegistry();
            registry.announce(makeAnnouncement());
            registry.announce(makeAnnouncement({ sequence: 2, pools: ["ledger"] }));
            assert.deepEqual(registry.list(POOL), []);
            assert.equal(registry.list("ledger" as PoolId).length, 1);
        });
    });

    describe("markLeaving", () => {
        it("excludes the incarnation for good, and passes that on", () => {
            const { registry } = makeRegistry();
            registry.announce(makeAnnouncement({ incarnation: 2, sequence: 5 }));
            const { version } = registry.changesSince(0);
            assert.ok(registry.markLeaving(ID, 2));
            assert.ok(!registry.markLeaving(ID, 2));
            assert.ok(registry.isDeparting(ID, 2));
            const [record] = registry.changesSince(version, "membership").records;
            assert.equal(record.announcement.state, "leaving");
            registry.merge([{ announcement: makeAnnouncement({ incarnation: 2, sequence: 6 }), ageMs: 0 }]);
            assert.equal(registry.get(ID)?.isGrantable, false);
        });

        it("does not affect a later incarnation", () => {
            const { registry } = makeRegistry();
            registry.announce(makeAnnouncement({ incarnation: 3 }));
            assert.ok(!registry.markLeaving(ID, 2));
            assert.equal(registry.get(ID)?.isGrantable, true);
            assert.ok(!registry.isDeparting(ID, 3));
        });

        it("applies to an incarnation that is announced only afterwards", () => {
            // The statement came with an answer, and overtook the announcement that the queue's owner granted by.
            const { registry } = makeRegistry();
            registry.announce(makeAnnouncement({ incarnation: 1 }));
            assert.ok(registry.markLeaving(ID, 2));
            assert.ok(registry.isDeparting(ID, 2));
            assert.equal(registry.get(ID)?.isGrantable, true);
            registry.announce(makeAnnouncement({ incarnation: 2 }));
            assert.equal(registry.get(ID)?.isGrantable, false);
            registry.announce(makeAnnouncement({ incarnation: 3 }));
            assert.equal(registry.get(ID)?.isGrantable, true);
        });

        it("reaches a process that knows a later announcement of the same incarnation", () => {
            const { registry } = makeRegistry();
            registry.announce(makeAnnouncement({ sequence: 9 }));
            registry.merge([{ announcement: makeAnnouncement({ sequence: 4, state: "leaving" }), ageMs: 0 }]);
            assert.equal(registry.get(ID)?.isGrantable, false);
        });
    });

    describe("a departed upstream whose announcements arrive late", () => {
        // A caller's stream was cut off: its request was sent to an engine that had announced that it would leave. The
        // preceding "ready" came through a slower entry and arrived after the "leaving".
        for (const state of ["leaving", "gone"] as const) {
            it(`stays excluded after "${state}"`, () => {
                const { registry } = makeRegistry();
                registry.announce(makeAnnouncement({ sequence: 7, state }));
                registry.merge([{ announcement: makeAnnouncement({ sequence: 6 }), ageMs: 400 }]);
                registry.merge([{ announcement: makeAnnouncement({ sequence: 8 }), ageMs: 100 }]);
                assert.equal(registry.get(ID)?.isGrantable, false);
            });
        }

        it("is not brought back by a relayed announcement after its tombstone has expired", async () => {
            const { clock, registry } = makeRegistry();
            registry.announce(makeAnnouncement({ sequence: 7, state: "gone" }));
            await clock.advance(4_000_000);
            registry.expire();
            assert.equal(registry.get(ID), undefined);
            registry.merge([{ announcement: makeAnnouncement({ sequence: 6 }), ageMs: 4_000_000 }]);
            assert.equal(registry.get(ID), undefined);
        });

        it("comes back with a new incarnation", () => {
            const { registry } = makeRegistry();
            registry.announce(makeAnnouncement({ sequence: 7, state: "gone" }));
            registry.announce(makeAnnouncement({ incarnation: 2 }));
            assert.equal(registry.get(ID)?.isGrantable, true);
        });
    });

    describe("expire", () => {
        it("excludes a silent upstream until it announces itself again", async () => {
            const { clock, registry } = makeRegistry();
            registry.announce(makeAnnouncement());
            await clock.advance(2_000);
            registry.expire();
            assert.equal(registry.get(ID)?.state, "silent");
            registry.announce(makeAnnouncement({ sequence: 2 }));
            assert.equal(registry.get(ID)?.state, "ready");
        });
    });

    describe("confirmAlive", () => {
        it("keeps an upstream that another process confirms, and readmits it", async () => {
            const { clock, registry } = makeRegistry();
            registry.announce(makeAnnouncement());
            await clock.advance(1_500);
            registry.confirmAlive([ID], clock.monotonic());
            await clock.advance(1_500);
            registry.expire();
            assert.equal(registry.get(ID)?.state, "ready");
            await clock.advance(1_000);
            registry.expire();
            assert.equal(registry.get(ID)?.state, "silent");
            registry.confirmAlive([ID], clock.monotonic());
            assert.equal(registry.get(ID)?.state, "ready");
        });

        it("does not bring a leaving upstream back", () => {
            const { clock, registry } = makeRegistry();
            registry.announce(makeAnnouncement({ state: "leaving" }));
            registry.confirmAlive([ID], clock.monotonic());
            assert.equal(registry.get(ID)?.isGrantable, false);
        });
    });

    describe("changesSince", () => {
        it("returns as membership only changes of more than load", () => {
            const { registry } = makeRegistry();
            registry.announce(makeAnnouncement());
            const { version } = registry.changesSince(0);
            const load = { running: 7, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 };
            registry.announce(makeAnnouncement({ sequence: 2, load }));
            assert.equal(registry.changesSince(version, "membership").records.length, 0);
            assert.equal(registry.changesSince(version, "heard").records.length, 1);
            registry.announce(makeAnnouncement({ sequence: 3, load, reclaim_in_ms: 4_000 }));
            assert.equal(registry.changesSince(version, "membership").records.length, 1);
        });

        it("returns each changed upstream once, with its age", async () => {
            const { clock, registry } = makeRegistry();
            registry.announce(makeAnnouncement());
            registry.announce(makeAnnouncement({ sequence: 2 }));
            const { version } = registry.changesSince(0);
            registry.announce(makeAnnouncement({ id: "u2" }));
            await clock.advance(30);
            assert.equal(registry.changesSince(0).records.length, 2);
            const later = registry.changesSince(version).records;
            assert.deepEqual(later.map(record => [record.announcement.id, record.ageMs]), [["u2", 30]]);
        });

        it("returns only records received at first hand, unless all are requested", () => {
            const { registry } = makeRegistry();
            registry.merge([{ announcement: makeAnnouncement(), ageMs: 0 }]);
            assert.equal(registry.changesSince(0).records.length, 0);
            assert.equal(registry.changesSince(0, "all").records.length, 1);
        });
    });
});
