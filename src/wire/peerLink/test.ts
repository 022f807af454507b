import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, Incarnation } from "../../ids/index.js";
import { MemoryFabric, SeededRandom, VirtualClock } from "../../ports/index.js";
import { DEFAULT_PEER_TIMING, PeerRouter, servePeers } from "../index.js";
import { PeerLink } from "./index.js";

const SERVER = "10.0.0.1";
const CLIENT = "10.0.0.2";
const ADDRESS = { host: SERVER, port: 7000 };

async function startPair() {
    const clock = new VirtualClock();
    const fabric = new MemoryFabric(clock, () => 1);
    const router = new PeerRouter();
    router.add("echo", body => body);
    router.add("fail", () => {
        throw new Error("no such thing");
    });
    await servePeers({
        network: fabric.network(SERVER),
        clock,
        address: ADDRESS,
        self: { host: "server" as HostId, incarnation: "1" as Incarnation },
        router,
        timing: DEFAULT_PEER_TIMING,
    });
    const link = new PeerLink({
        network: fabric.network(CLIENT),
        clock,
        random: new SeededRandom(1),
        address: ADDRESS,
        self: { host: "client" as HostId, incarnation: "1" as Incarnation },
        router: new PeerRouter(),
        timing: DEFAULT_PEER_TIMING,
    });
    const abort = new AbortController();
    void link.run(abort.signal);
    await clock.advance(100);
    return { clock, fabric, link };
}

describe("PeerLink", () => {
    describe("call", () => {
        it("returns the body of the reply", async () => {
            const { clock, link } = await startPair();
            const answer = await clock.runUntil(link.call("echo", { text: "hi" }, 1_000), 1_000);
            assert.deepEqual(answer.extract(), { text: "hi" });
        });

        it("returns the peer's error", async () => {
            const { clock, link } = await startPair();
            const answer = await clock.runUntil(link.call("fail", undefined, 1_000), 1_000);
            assert.match(String(answer.extract()), /no such thing/);
        });
    });

    describe("awaitOpen", () => {
        function makeLink(clock: VirtualClock, fabric: MemoryFabric): PeerLink {
            return new PeerLink({
                network: fabric.network(CLIENT),
                clock,
                random: new SeededRandom(1),
                address: ADDRESS,
                self: { host: "client" as HostId, incarnation: "2" as Incarnation },
                router: new PeerRouter(),
                timing: DEFAULT_PEER_TIMING,
            });
        }

        it("waits for a connection attempt in progress, as on a link's first use", async () => {
            const { clock, fabric } = await startPair();
            const link = makeLink(clock, fabric);
            void link.run(new AbortController().signal);
            assert.equal(link.isOpen, false);
            assert.equal(await clock.runUntil(link.awaitOpen(120), 1_000), true);
        });

        it("returns false at its timeout when nobody answers", async () => {
            const { clock, fabric } = await startPair();
            fabric.isolate(SERVER, [CLIENT], true);
            const link = makeLink(clock, fabric);
            void link.run(new AbortController().signal);
            const startedAt = clock.monotonic();
            assert.equal(await clock.runUntil(link.awaitOpen(120), 1_000), false);
            assert.ok(clock.monotonic() - startedAt <= 140);
        });
    });

    describe("a connection that has gone silent", () => {
        it("is replaced within the silence timeout", async () => {
            // Prevents calls from hanging although both hosts are up and new connections between them work. A middlebox
            // dropped the open connection: no bytes pass, and neither end is notified. Without heartbeats, an end that
            // waits for a reply would wait forever.
            const { clock, fabric, link } = await startPair();
            fabric.blackholeConnections(SERVER, CLIENT);
            const lost = await clock.runUntil(link.call("echo", 1, 10_000), 10_000);
            assert.match(String(lost.extract()), /lost/);
            await clock.advance(200);
            const answer = await clock.runUntil(link.call("echo", 2, 1_000), 1_000);
            assert.equal(answer.extract(), 2);
        });
    });

    describe("a peer without power", () => {
        it("is reached soon after it is back", async () => {
            // Prevents callers from waiting most of a second longer after a power loss than the control processes need
            // to start. The first packet of a connection reaches a host that is not up yet and is retransmitted after a
            // second. The link must open another connection instead of waiting for that.
            const { clock, fabric, link } = await startPair();
            fabric.isolate(SERVER, [CLIENT], true);
            link.reset();
            await clock.advance(700);
            fabric.crash(CLIENT);
            fabric.isolate(SERVER, [CLIENT], false);
            await clock.advance(550);
            assert.equal(link.isOpen, true);
        });
    });
});
