import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, Incarnation, UpstreamId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { MemoryFabric, SeededRandom, VirtualClock } from "../../ports/index.js";
import { DEFAULT_REGISTRY_TIMING, makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { DEFAULT_PEER_TIMING, PeerIdentity, PeerLink, PeerRouter, servePeers } from "../../wire/index.js";
import { AnnouncementSubscriber } from "../announcementSubscriber/index.js";
import { UpdateLevel } from "../announcementUpdate/index.js";
import { AnnouncementPublisher } from "./index.js";

const ID = "u1" as UpstreamId;
const HEARTBEAT_MS = 500;
/** Round trip of a subscription, by which ages may be wrong, in milliseconds. */
const MAX_AGE_ERROR_MS = 4;

async function makePublishers(names: readonly string[]) {
    const clock = new VirtualClock();
    const fabric = new MemoryFabric(clock, () => 1);
    const running = new AbortController();
    const nodes = names.map(name => {
        const router = new PeerRouter();
        const registry = new UpstreamRegistry({ clock });
        const self: PeerIdentity = { host: name as HostId, incarnation: "1" as Incarnation };
        const publisher = new AnnouncementPublisher({ clock, registry, router });
        const wallTimes: string[] = [];
        const onWallTime = (host: HostId): void => void wallTimes.push(host);
        let level: UpdateLevel = "all";
        const subscriber = new AnnouncementSubscriber({
            clock,
            registry,
            router,
            logger: new SilentLogger(),
            onWallTime,
            requiredLevel: () => level,
        });
        const setLevel = (needed: UpdateLevel): void => void (level = needed);
        return { name, router, registry, self, publisher, subscriber, wallTimes, setLevel };
    });
    const timing = DEFAULT_PEER_TIMING;
    for (const { name, router, self, publisher } of nodes) {
        await servePeers({
            clock,
            self,
            router,
            timing,
            network: fabric.network(name),
            address: { host: name, port: 1 },
        });
        void publisher.run(running.signal);
    }
    const subscribe = (from: number, to: number): void => {
        const { name, router, self, subscriber } = nodes[from];
        void subscriber.run(running.signal);
        const link = new PeerLink({
            clock,
            router,
            self,
            timing,
            network: fabric.network(name),
            random: new SeededRandom(1),
            address: { host: names[to], port: 1 },
            onOpen: channel => void subscriber.subscribe(channel),
        });
        void link.run(running.signal);
    };
    return { clock, fabric, nodes, subscribe, stop: () => running.abort() };
}

describe("AnnouncementPublisher", () => {
    it("sends a new subscriber its whole state, then updates", async () => {
        const { clock, nodes: [publisher, entry], subscribe, stop } = await makePublishers(["control", "entry"]);
        await publisher.publisher.receive(makeAnnouncement({ id: "u1" }));
        subscribe(1, 0);
        await clock.advance(100);
        assert.equal(entry.registry.get(ID)?.state, "ready");
        await publisher.publisher.receive(makeAnnouncement({ id: "u2" }));
        await clock.advance(200);
        assert.equal(entry.registry.get("u2" as UpstreamId)?.state, "ready");
        assert.ok(entry.wallTimes.includes("control"));
        stop();
    });

    it("relays a leaving upstream that it knows from another publisher", async () => {
        // An engine announces that it leaves to a control process that the entry can't reach. The entry is subscribed to another
        // one, which has received it; if that did not relay it, the entry would keep sending requests.
        const { clock, nodes: [first, second, entry], subscribe, stop } = await makePublishers(["a", "b", "entry"]);
        subscribe(1, 0);
        subscribe(2, 1);
        await clock.advance(100);
        await second.publisher.receive(makeAnnouncement({ sequence: 1 }));
        await clock.advance(200);
        const accepted = first.publisher.receive(makeAnnouncement({ sequence: 2, state: "leaving" }));
        assert.equal(await clock.runUntil(accepted, 1_000), true);
        await clock.advance(300);
        assert.equal(entry.registry.get(ID)?.state, "leaving");
        stop();
    });

    it("does not confirm a leaving upstream without any subscriber", async () => {
        const { clock, nodes: [publisher], stop } = await makePublishers(["control"]);
        assert.equal(await publisher.publisher.receive(makeAnnouncement({ state: "ready" })), true);
        assert.equal(
            await clock.runUntil(publisher.publisher.receive(makeAnnouncement({ sequence: 2, state: "gone" })), 1_000),
            false,
        );
        stop();
    });

    describe("an announcement that waits on its way", () => {
        /** Has an announcement wait for the entry, and returns its age as the entry takes it, in milliseconds. */
        async function measureAge(
            hold: (fabric: MemoryFabric, isHeld: boolean) => void,
            heldMs: number,
        ): Promise<number> {
            const { clock, fabric, nodes: [control, entry], subscribe, stop } = await makePublishers([
                "control",
                "entry",
            ]);
            subscribe(1, 0);
            await clock.advance(500);
            await control.publisher.receive(makeAnnouncement({ sequence: 1 }));
            await clock.advance(200);
            hold(fabric, true);
            await control.publisher.receive(makeAnnouncement({ sequence: 2 }));
            const at = clock.monotonic();
            await clock.advance(heldMs);
            hold(fabric, false);
            await clock.advance(2);
            stop();
            const { announcement, announcedAt } = entry.registry.get(ID)!;
            assert.equal(announcement.sequence, 2);
            return announcedAt - at;
        }

        it("keeps its age at a host that stood still", async () => {
            // Failure: its upstream counted as one that runs now, and got the rest of a stream after it had come back with other software.
            const hold = (fabric: MemoryFabric, isHeld: boolean): void =>
                isHeld ? fabric.freeze("entry") : fabric.thaw("entry");
            assert.ok(Math.abs(await measureAge(hold, 1_000)) <= MAX_AGE_ERROR_MS);
        });

        it("keeps its age behind a link that was cut", async () => {
            // Failure: the same, at a host that was cut off for a moment.
            const hold = (fabric: MemoryFabric, isHeld: boolean): void => fabric.isolate("entry", ["control"], isHeld);
            assert.ok(Math.abs(await measureAge(hold, 1_000)) <= MAX_AGE_ERROR_MS);
        });
    });

    describe("a subscriber at level `membership`", () => {
        /**
         * Lets an upstream announce itself for `ms` milliseconds, with a changing load.
         *
         * @param from - The sequence number of the announcement before the first one.
         * @returns The last sequence number.
         */
        async function announceFor(
            publisher: AnnouncementPublisher,
            clock: VirtualClock,
            ms: number,
            from: number,
            id = "u1",
        ): Promise<number> {
            let sequence = from;
            for (let passed = 0; passed < ms; passed += HEARTBEAT_MS) {
                const load = { running: sequence, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 };
                await publisher.receive(makeAnnouncement({ id, sequence: ++sequence, load }));
                await clock.advance(HEARTBEAT_MS);
            }
            return sequence;
        }

        it("gets no load updates, and keeps the upstream ready", async () => {
            const { clock, nodes: [publisher, entry, owner], subscribe, stop } = await makePublishers([
                "control",
                "entry",
                "owner",
            ]);
            entry.setLevel("membership");
            subscribe(1, 0);
            subscribe(2, 0);
            await clock.advance(100);
            await announceFor(publisher.publisher, clock, 20_000, 0);
            assert.equal(entry.registry.get(ID)?.state, "ready");
            assert.equal(entry.registry.get(ID)?.announcement.load.running, 0);
            assert.equal(owner.registry.get(ID)?.announcement.load.running, 39);
            const countUpdates = (node: typeof entry): number =>
                node.router.traffic.list().find(({ method }) => method === "discovery.news")!.messages;
            assert.ok(countUpdates(entry) <= 24, `${countUpdates(entry)} messages in 20 s`);
            assert.ok(countUpdates(owner) >= 38);
            stop();
        });

        it("gets a change of state at once", async () => {
            const { clock, nodes: [publisher, entry], subscribe, stop } = await makePublishers(["control", "entry"]);
            entry.setLevel("membership");
            subscribe(1, 0);
            const sequence = await announceFor(publisher.publisher, clock, 5_000, 0);
            void publisher.publisher.receive(makeAnnouncement({ sequence: sequence + 1, reclaim_in_ms: 4_000 }));
            await clock.advance(150);
            assert.equal(entry.registry.get(ID)?.isGrantable, false);
            void publisher.publisher.receive(makeAnnouncement({ sequence: sequence + 2, state: "leaving" }));
            await clock.advance(50);
            assert.equal(entry.registry.get(ID)?.state, "leaving");
            stop();
        });

        it("gets load as soon as it needs level `all`", async () => {
            const { clock, nodes: [publisher, entry], subscribe, stop } = await makePublishers(["control", "entry"]);
            entry.setLevel("membership");
            subscribe(1, 0);
            const sequence = await announceFor(publisher.publisher, clock, 5_000, 0);
            entry.setLevel("all");
            await announceFor(publisher.publisher, clock, 1_000, sequence);
            assert.ok(entry.registry.get(ID)!.announcement.load.running > 0);
            stop();
        });

        it("marks an upstream that stops announcing as silent, and as ready when it resumes", async () => {
            // An engine loses power without announcing it. Entries that get changes only would send to it forever if its publisher
            // did not report that the announcements have stopped.
            const { clock, nodes: [publisher, entry], subscribe, stop } = await makePublishers(["control", "entry"]);
            entry.setLevel("membership");
            subscribe(1, 0);
            const sequence = await announceFor(publisher.publisher, clock, 5_000, 0);
            await clock.advance(DEFAULT_REGISTRY_TIMING.silentAfterMs + 200);
            entry.registry.expire();
            assert.equal(entry.registry.get(ID)?.state, "silent");
            await announceFor(publisher.publisher, clock, 1_000, sequence);
            assert.equal(entry.registry.get(ID)?.state, "ready");
            stop();
        });

        it("keeps an upstream ready that moves from one publisher to another", async () => {
            const { clock, nodes: [first, second, entry], subscribe, stop } = await makePublishers(["a", "b", "entry"]);
            entry.setLevel("membership");
            subscribe(0, 1);
            subscribe(1, 0);
            subscribe(2, 0);
            subscribe(2, 1);
            await clock.advance(100);
            const sequence = await announceFor(first.publisher, clock, 3_000, 0);
            await announceFor(second.publisher, clock, 10_000, sequence);
            entry.registry.expire();
            assert.equal(entry.registry.get(ID)?.state, "ready");
            stop();
        });

        it("keeps the upstreams of a publisher ready that is unreachable for some seconds", async () => {
            // The owner of a queue is cut off from one control host for five seconds. The upstreams that announce themselves there
            // are healthy, and the control host receives their announcements; they must not all be marked as silent.
            const { clock, fabric, nodes: [publisher, entry], subscribe, stop } = await makePublishers([
                "control",
                "entry",
            ]);
            subscribe(1, 0);
            let sequence = await announceFor(publisher.publisher, clock, 3_000, 0);
            fabric.isolate("entry", ["control"], true);
            sequence = await announceFor(publisher.publisher, clock, 5_000, sequence);
            entry.registry.expire();
            assert.equal(entry.registry.get(ID)?.state, "ready");
            sequence = await announceFor(publisher.publisher, clock, 3_500, sequence);
            entry.registry.expire();
            assert.equal(entry.registry.get(ID)?.state, "silent");
            fabric.isolate("entry", ["control"], false);
            await announceFor(publisher.publisher, clock, 3_000, sequence);
            assert.equal(entry.registry.get(ID)?.state, "ready");
            stop();
        });
    });
});
