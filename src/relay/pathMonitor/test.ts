import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, UpstreamId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import {
    Address,
    Clock,
    MemoryFabric,
    Network,
    SeededRandom,
    SystemClock,
    TcpNetwork,
    VirtualClock,
} from "../../ports/index.js";
import { PathFinding, UpstreamRegistry, UpstreamTarget } from "../../upstream/index.js";
import { RelayFinding } from "../relayMessage/index.js";
import { PathMonitor } from "./index.js";

const HERE = "10.0.0.1";
const UPSTREAM: Address = { host: "10.0.0.2", port: 9000 };
const LIMIT_MS = 10_000;

describe("PathMonitor", () => {
    /** A monitor whose other hosts find what a test says; undefined: there are none. */
    function makeMonitor(clock: Clock, network: Network, peersFind?: RelayFinding): PathMonitor {
        return new PathMonitor({
            clock,
            network,
            random: new SeededRandom(1),
            logger: new SilentLogger(),
            metrics: new NoMetrics(),
            registry: new UpstreamRegistry({ clock }),
            peers: { probe: async () => peersFind ?? "unknown", hasPeers: () => peersFind !== undefined },
        });
    }

    function targetAt(address: Address): UpstreamTarget {
        return { pool: "draft" as PoolId, upstream: "u1" as UpstreamId, incarnation: 1, address };
    }

    describe("check, in memory", () => {
        const clock = new VirtualClock();
        const fabric = new MemoryFabric(clock, () => 1);

        function check(peersFind?: RelayFinding): Promise<PathFinding> {
            const monitor = makeMonitor(clock, fabric.network(HERE), peersFind);
            return clock.runUntil(monitor.check(targetAt(UPSTREAM)), LIMIT_MS);
        }

        it("finds a crash where nothing listens, unless other hosts find something else or can't tell", async () => {
            assert.equal(await check(), "crashed");
            assert.equal(await check("refused"), "crashed");
            assert.equal(await check("reached"), "cut-off");
            assert.equal(await check("unreachable"), "unreachable");
            assert.equal(await check("unknown"), "unreachable");
        });

        it("finds an upstream that listens, and leaves no connection open", async () => {
            const ends: Promise<unknown>[] = [];
            const listener = await fabric.network(UPSTREAM.host).listen(UPSTREAM, connection => {
                ends.push(connection.receive());
            });
            assert.equal(await check("unreachable"), "open");
            assert.deepEqual(await clock.runUntil(Promise.all(ends), 1_000), [undefined]);
            await listener.close();
        });

        it("finds a partitioned upstream unreachable, and cut off where other hosts reach it", async () => {
            fabric.isolate(HERE, [UPSTREAM.host], true);
            assert.equal(await check(), "unreachable");
            assert.equal(await check("reached"), "cut-off");
            fabric.isolate(HERE, [UPSTREAM.host], false);
        });

        it("opens one connection for all who ask at the same time", async () => {
            let opened = 0;
            const listener = await fabric.network(UPSTREAM.host).listen(UPSTREAM, () => void opened++);
            const monitor = makeMonitor(clock, fabric.network(HERE));
            const findings = Array.from({ length: 5 }, () => monitor.check(targetAt(UPSTREAM)));
            await clock.runUntil(Promise.all(findings), LIMIT_MS);
            assert.equal(opened, 1);
            await listener.close();
        });
    });

    describe("check, over TCP", () => {
        it("finds the same", async () => {
            const network = new TcpNetwork();
            const monitor = makeMonitor(new SystemClock(), network);
            const listener = await network.listen({ host: "127.0.0.1", port: 0 }, () => undefined);
            const target = targetAt(listener.address);
            assert.equal(await monitor.check(target), "open");
            await listener.close();
            assert.equal(await monitor.check(target), "crashed");
        });

        it("does not take a fault of this host for a crash", async () => {
            // To an entry that has run out of file descriptors or has no route, each upstream would otherwise seem to have crashed.
            const monitor = makeMonitor(new SystemClock(), new TcpNetwork());
            assert.equal(await monitor.check(targetAt({ host: "255.255.255.255", port: 9 })), "unreachable");
        });
    });
});
