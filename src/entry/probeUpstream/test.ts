import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Address, MemoryFabric, TcpNetwork, VirtualClock } from "../../ports/index.js";
import { probeUpstream } from "./index.js";

const HERE = "10.0.0.1";
const UPSTREAM: Address = { host: "10.0.0.2", port: 9000 };

describe("probeUpstream", () => {
    const clock = new VirtualClock();
    const fabric = new MemoryFabric(clock, () => 1);

    function probe(): Promise<string> {
        return clock.runUntil(probeUpstream(fabric.network(HERE), UPSTREAM), 10_000);
    }

    it("reports a crash where nothing listens", async () => {
        assert.equal(await probe(), "crashed");
    });

    it("reports an upstream that listens as alive, and leaves no connection open", async () => {
        const ends: Promise<unknown>[] = [];
        const listener = await fabric.network(UPSTREAM.host).listen(UPSTREAM, connection => {
            ends.push(connection.receive());
        });
        assert.equal(await probe(), "alive");
        assert.deepEqual(await clock.runUntil(Promise.all(ends), 1_000), [undefined]);
        await listener.close();
    });

    it("reports a partitioned upstream as unreachable, and as crashed where a later attempt is refused", async () => {
        fabric.isolate(HERE, [UPSTREAM.host], true);
        assert.equal(await probe(), "unreachable");
        clock.after(500, () => fabric.isolate(HERE, [UPSTREAM.host], false));
        assert.equal(await probe(), "crashed");
    });

    it("does not report a fault of this host as a crash", async () => {
        // To an entry that has run out of file descriptors or has no route, each upstream would otherwise seem to have crashed.
        const finding = await probeUpstream(new TcpNetwork(), { host: "255.255.255.255", port: 9 });
        assert.equal(finding, "unreachable");
    });

    it("reports the same over TCP", async () => {
        const network = new TcpNetwork();
        const listener = await network.listen({ host: "127.0.0.1", port: 0 }, () => undefined);
        const { address } = listener;
        assert.equal(await probeUpstream(network, address), "alive");
        await listener.close();
        assert.equal(await probeUpstream(network, address), "crashed");
    });
});
