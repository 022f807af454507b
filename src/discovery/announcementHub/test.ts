import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, Incarnation, UpstreamId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { MemoryFabric, SeededRandom, VirtualClock } from "../../ports/index.js";
import { DEFAULT_REGISTRY_TIMING, makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { DEFAULT_PEER_TIMING, PeerIdentity, PeerLink, PeerRouter, servePeers } from "../../wire/index.js";
import { AnnouncementFollower } from "../announcementFollower/index.js";
import { NewsLevel } from "../news/index.js";
import { AnnouncementHub } from "./index.js";

const ID = "u1" as UpstreamId;
const HEARTBEAT_MS = 500;

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
        let level: NewsLevel = "all";
        const follower = new AnnouncementFollower({
            clock,
            registry,
            router,
            logger: new SilentLogger(),
            onWallTime,
            levelNeeded: () => level,
        });
        const setLevel = (needed: NewsLevel): void => void (level = needed);
        return { name, router, registry, self, hub, follower, wallTimes, setLevel };
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
        void follower.run(running.signal);
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

    describe("a follower that chooses among no upstreams", () => {
        /** Lets an upstream announce itself for a while, with a load that changes each time. */
        async function announceFor(
            hub: AnnouncementHub,
            clock: VirtualClock,
            ms: number,
            from: number,
            id = "u1",
        ): Promise<number> {
            let sequence = from;
            for (let passed = 0; passed < ms; passed += HEARTBEAT_MS) {
                const load = { running: sequence, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 };
                await hub.take(makeAnnouncement({ id, sequence: ++sequence, load }));
                await clock.advance(HEARTBEAT_MS);
            }
            return sequence;
        }

        it("is told nothing of load, and believes in the upstream all the same", async () => {
            const { clock, nodes: [hub, entry, owner], follow, stop } = await makeHubs(["control", "entry", "owner"]);
            entry.setLevel("membership");
            follow(1, 0);
            follow(2, 0);
            await clock.advance(100);
            await announceFor(hub.hub, clock, 20_000, 0);
            assert.equal(entry.registry.get(ID)?.state, "ready");
            assert.equal(entry.registry.get(ID)?.announcement.load.running, 0);
            assert.equal(owner.registry.get(ID)?.announcement.load.running, 39);
            const countNews = (node: typeof entry): number =>
                node.router.traffic.list().find(({ method }) => method === "discovery.news")!.messages;
            assert.ok(countNews(entry) <= 24, `${countNews(entry)} messages in 20 s`);
            assert.ok(countNews(owner) >= 38);
            stop();
        });

        it("is told of a change of state within a moment", async () => {
            const { clock, nodes: [hub, entry], follow, stop } = await makeHubs(["control", "entry"]);
            entry.setLevel("membership");
            follow(1, 0);
            const sequence = await announceFor(hub.hub, clock, 5_000, 0);
            void hub.hub.take(makeAnnouncement({ sequence: sequence + 1, reclaim_in_ms: 4_000 }));
            await clock.advance(150);
            assert.equal(entry.registry.get(ID)?.isGrantable, false);
            void hub.hub.take(makeAnnouncement({ sequence: sequence + 2, state: "leaving" }));
            await clock.advance(50);
            assert.equal(entry.registry.get(ID)?.state, "leaving");
            stop();
        });

        it("learns of load as soon as it has to choose", async () => {
            const { clock, nodes: [hub, entry], follow, stop } = await makeHubs(["control", "entry"]);
            entry.setLevel("membership");
            follow(1, 0);
            const sequence = await announceFor(hub.hub, clock, 5_000, 0);
            entry.setLevel("all");
            await announceFor(hub.hub, clock, 1_000, sequence);
            assert.ok(entry.registry.get(ID)!.announcement.load.running > 0);
            stop();
        });

        it("gives up an upstream that has gone silent, and takes it back", async () => {
            // An engine loses power without a word. Entries that hear only of changes would send to it for good, if its hub
            // did not say that it hears nothing any more.
            const { clock, nodes: [hub, entry], follow, stop } = await makeHubs(["control", "entry"]);
            entry.setLevel("membership");
            follow(1, 0);
            const sequence = await announceFor(hub.hub, clock, 5_000, 0);
            await clock.advance(DEFAULT_REGISTRY_TIMING.silentAfterMs + 200);
            entry.registry.expire();
            assert.equal(entry.registry.get(ID)?.state, "silent");
            await announceFor(hub.hub, clock, 1_000, sequence);
            assert.equal(entry.registry.get(ID)?.state, "ready");
            stop();
        });

        it("follows an upstream from one hub to another", async () => {
            const { clock, nodes: [first, second, entry], follow, stop } = await makeHubs(["a", "b", "entry"]);
            entry.setLevel("membership");
            follow(0, 1);
            follow(1, 0);
            follow(2, 0);
            follow(2, 1);
            await clock.advance(100);
            const sequence = await announceFor(first.hub, clock, 3_000, 0);
            await announceFor(second.hub, clock, 10_000, sequence);
            entry.registry.expire();
            assert.equal(entry.registry.get(ID)?.state, "ready");
            stop();
        });

        it("believes in the upstreams of a hub that it can't reach for some seconds", async () => {
            // The owner of a queue is cut off from one of the control hosts for five seconds. The upstreams that announce themselves
            // there are well and reach it; they must not all be taken for silent.
            const { clock, fabric, nodes: [hub, entry], follow, stop } = await makeHubs(["control", "entry"]);
            follow(1, 0);
            let sequence = await announceFor(hub.hub, clock, 3_000, 0);
            fabric.isolate("entry", ["control"], true);
            sequence = await announceFor(hub.hub, clock, 5_000, sequence);
            entry.registry.expire();
            assert.equal(entry.registry.get(ID)?.state, "ready");
            sequence = await announceFor(hub.hub, clock, 3_500, sequence);
            entry.registry.expire();
            assert.equal(entry.registry.get(ID)?.state, "silent");
            fabric.isolate("entry", ["control"], false);
            await announceFor(hub.hub, clock, 3_000, sequence);
            assert.equal(entry.registry.get(ID)?.state, "ready");
            stop();
        });
    });
});
