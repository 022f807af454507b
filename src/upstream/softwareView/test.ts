import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { makeAnnouncement } from "../fixtures/index.js";
import { UpstreamRegistry } from "../upstreamRegistry/index.js";
import { SoftwareView } from "./index.js";

const POOL = "draft" as PoolId;
const FIRST = "u1" as UpstreamId;
const OLD = "v1" as SoftwareVersion;
const NEW = "v2" as SoftwareVersion;

describe("SoftwareView", () => {
    function makeView(...announcements: Parameters<typeof makeAnnouncement>[0][]) {
        const registry = new UpstreamRegistry({ clock: new VirtualClock() });
        for (const announcement of announcements) registry.announce(makeAnnouncement(announcement));
        return { registry, view: new SoftwareView(registry) };
    }

    describe("the version of a granted upstream", () => {
        it("is the announced one", () => {
            const { view } = makeView({ software_version: OLD });
            assert.equal(view.find({ upstream: FIRST, incarnation: 1, software: OLD }), OLD);
            assert.equal(view.find({ upstream: FIRST, software: OLD }), OLD);
        });

        it("is that of the grant while this process has not heard of the incarnation", () => {
            const { view } = makeView({ software_version: OLD });
            assert.equal(view.find({ upstream: FIRST, incarnation: 2, software: NEW }), NEW);
            assert.equal(view.find({ upstream: "u9" as UpstreamId, incarnation: 2, software: NEW }), NEW);
        });

        it("is unknown once another incarnation has replaced the granted one", () => {
            // An upstream that comes back with other software at the same id would be taken for the one before.
            const { view } = makeView({ software_version: OLD }, { software_version: NEW, incarnation: 2 });
            assert.equal(view.find({ upstream: FIRST, incarnation: 1, software: OLD }), undefined);
            assert.equal(view.find({ upstream: FIRST, incarnation: 2, software: NEW }), NEW);
        });

        it("is unknown where the deciding host was not certain of it, or of another one", () => {
            const { view } = makeView({ software_version: OLD });
            assert.equal(view.find({ upstream: FIRST, incarnation: 1 }), undefined);
            assert.equal(view.find({ upstream: FIRST, incarnation: 1, software: NEW }), undefined);
        });

        it("is unknown where one incarnation announces two", () => {
            const { view } = makeView({ software_version: OLD }, { software_version: NEW, sequence: 2 });
            assert.equal(view.find({ upstream: FIRST, incarnation: 1, software: NEW }), undefined);
        });

        it("is kept where an announcement leaves it out", () => {
            // Hosts of an earlier build pass announcements on without it.
            const { view } = makeView({ software_version: OLD }, {
                software_version: undefined,
                sequence: 2,
                state: "leaving",
            });
            assert.equal(view.find({ upstream: FIRST, incarnation: 1, software: OLD }), OLD);
        });

        it("is not taken from an earlier incarnation whose announcement is late", () => {
            const { registry, view } = makeView({ software_version: NEW, incarnation: 2 });
            registry.announce(makeAnnouncement({ software_version: OLD, incarnation: 1, sequence: 9 }));
            assert.equal(view.find({ upstream: FIRST, incarnation: 2, software: NEW }), NEW);
        });
    });

    it("tells whether another upstream may continue a stream", () => {
        const { registry, view } = makeView({ software_version: OLD }, { id: "u2", software_version: NEW });
        assert.equal(view.hasOther(POOL, FIRST, OLD), false);
        registry.announce(makeAnnouncement({ id: "u3", software_version: OLD }));
        assert.equal(view.hasOther(POOL, FIRST, OLD), true);
        registry.announce(makeAnnouncement({ id: "u3", software_version: OLD, sequence: 2, state: "leaving" }));
        assert.equal(view.hasOther(POOL, FIRST, OLD), false);
    });

    it("tells whether a pool runs several versions", () => {
        const { registry, view } = makeView({ software_version: OLD }, { id: "u2", software_version: OLD });
        assert.equal(view.isMixed(POOL), false);
        registry.announce(makeAnnouncement({ id: "u3", software_version: undefined }));
        assert.equal(view.isMixed(POOL), true, "an unknown version may be another one");
    });
});
