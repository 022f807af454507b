import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, Incarnation, UpstreamId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { MemoryFabric, SeededRandom, VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { DEFAULT_PEER_TIMING, PeerIdentity, PeerLink, PeerRouter, servePeers } from "../../wire/index.js";
import { AnnouncementFollower } from "../announcementFollower/index.js";
import { AnnouncementHub } from "./index.js";

const ID = "u1" as UpstreamId;

async function makeHubs(names: readonly string[]) {
    const clock = new VirtualClock();
    const fabric = new MemoryFabric(clock, () => 1);
    const running = new AbortController();
    const nodes = names.map(name => {
        const router = new PeerRouter();
        const registry = new UpstreamRegistry({ clock });
        const self: PeerIdentity = { host: name as HostId, incarnation: "1" as Incarnation };
        const hub = new AnnouncementHub({ clock, registry, router });
        const wallTimes: string[] = [];
        const onWallTime = (host: HostId): void => void wallTimes.push(host);
        const follower = new AnnouncementFollower({ registry, router, logger: new SilentLogger(), onWallTime });
        return { name, router, registry, self, hub, follower, wallTimes };
    });
    const timing = DEFAULT_PEER_TIMING;
    for (const { name, router, self, hub } of nodes) {
        await servePeers({
            clock,
            self,
            router,
            timing,
            network: fabric.network(name),
            address: { host: name, port: 1 },
        });
        void hub.run(running.signal);
    }
    const follow = (from: number, to: number): void => {
        const { name, router, self, follower } = nodes[from];
        const link = new PeerLink({
            clock,
            router,
            self,
            timing,
            network: fabric.network(name),
            random: new SeededRandom(1),
            address: { host: names[to], port: 1 },
            onOpen: channel => void follower.follow(channel),
        });
        void link.run(running.signal);
    };
    return { clock, fabric, nodes, follow, stop: () => running.abort() };
}

describe("AnnouncementHub", () => {
    it("gives a new follower all that it knows, and news from then on", async () => {
        const { clock, nodes: [hub, entry], follow, stop } = await makeHubs(["control", "entry"]);
        await hub.hub.take(makeAnnouncement({ id: "u1" }));
        follow(1, 0);
        await clock.advance(100);
        assert.equal(entry.registry.get(ID)?.state, "ready");
        await hub.hub.take(makeAnnouncement({ id: "u2" }));
        await clock.advance(200);
        assert.equal(entry.registry.get("u2" as UpstreamId)?.state, "ready");
        assert.ok(entry.wallTimes.includes("control"));
        stop();
    });

    it("passes a leaver on that it heard of from another hub", async () => {
        // An engine leaves and tells a control process that the entry can't reach. The entry follows another one, which has
        // heard of it; without passing it on, the entry goes on sending.
        const { clock, nodes: [first, second, entry], follow, stop } = await makeHubs(["a", "b", "entry"]);
        follow(1, 0);
        follow(2, 1);
        await clock.advance(100);
        await second.hub.take(makeAnnouncement({ sequence: 1 }));
        await clock.advance(200);
        const taken = first.hub.take(makeAnnouncement({ sequence: 2, state: "leaving" }));
        assert.equal(await clock.runUntil(taken, 1_000), true);
        await clock.advance(300);
        assert.equal(entry.registry.get(ID)?.state, "leaving");
        stop();
    });

    it("does not confirm a leaver that nobody could be told of", async () => {
        const { clock, nodes: [hub], stop } = await makeHubs(["control"]);
        assert.equal(await hub.hub.take(makeAnnouncement({ state: "ready" })), true);
        assert.equal(
            await clock.runUntil(hub.hub.take(makeAnnouncement({ sequence: 2, state: "gone" })), 1_000),
            false,
        );
        stop();
    });
});
