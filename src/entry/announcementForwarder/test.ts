import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolOwnerTable } from "../../dispatch/index.js";
import { HostId } from "../../ids/index.js";
import { RejectionLog, SilentLogger } from "../../logging/index.js";
import { VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { PeerChannel, PeerRouter } from "../../wire/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";
import { AnnouncementForwarder } from "./index.js";

const SPREAD_METHOD = "upstream.spread";

describe("AnnouncementForwarder", () => {
    it("takes the other records of a list with one that can't be used", () => {
        // Failure: the owner of a pool's queue never learns of the upstreams behind an odd record.
        const clock = new VirtualClock();
        const registry = new UpstreamRegistry({ clock });
        const router = new PeerRouter();
        const rejections = new RejectionLog({ clock, logger: new SilentLogger() });
        const [directory, owners] = [{} as PeerDirectory, {} as PoolOwnerTable];
        new AnnouncementForwarder(registry, directory, owners, "e1" as HostId, rejections).addTo(router);
        const records = ["u1", "u2", "u3"].map(id => ({ announcement: makeAnnouncement({ id }), ageMs: 0 }));
        const spread = router.find(SPREAD_METHOD)!;
        assert.doesNotThrow(() => spread([records[0], { ageMs: 0 }, records[2]], {} as PeerChannel));
        assert.deepEqual(registry.listAll().map(({ id }) => id), ["u1", "u3"]);
    });
});
