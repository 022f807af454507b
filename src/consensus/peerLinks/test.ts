import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, Incarnation } from "../../ids/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { SilentLogger } from "../../logging/index.js";
import { Address, Connection, MemoryFabric, Network, SeededRandom, VirtualClock } from "../../ports/index.js";
import { DEFAULT_PEER_TIMING, PeerRouter } from "../../wire/index.js";
import { PeerLinks } from "./index.js";

const GONE: Address = { host: "gone", port: 1 };
const KEPT: Address = { host: "kept", port: 1 };

/** Counts the connection attempts to each host. */
class CountingNetwork extends Network {
    readonly attempts = new Map<string, number>();

    constructor(private readonly network: Network) {
        super();
    }

    listen(address: Address, accept: (connection: Connection) => void) {
        return this.network.listen(address, accept);
    }

    connect(address: Address, timeoutMs: number) {
        this.attempts.set(address.host, this.countFor(address) + 1);
        return this.network.connect(address, timeoutMs);
    }

    countFor({ host }: Address) {
        return this.attempts.get(host) ?? 0;
    }
}

function openLinks() {
    const clock = new VirtualClock();
    const network = new CountingNetwork(new MemoryFabric(clock, () => 1).network("self"));
    const links = new PeerLinks({
        network,
        clock,
        random: new SeededRandom(1),
        self: { host: "self" as HostId, incarnation: "1" as Incarnation },
        router: new PeerRouter(),
        timing: DEFAULT_PEER_TIMING,
        logger: new SilentLogger(),
    }, new Lifecycle());
    return { clock, network, links };
}

describe("PeerLinks", () => {
    it("stops connecting to hosts that are not wanted any more", async () => {
        // Guards against connection attempts to each host that was ever replaced, for as long as the process runs.
        const { clock, network, links } = openLinks();
        for (let second = 0; second < 60; second++) {
            links.retain(second < 5 ? [GONE, KEPT] : [KEPT]);
            await clock.advance(1_000);
        }
        const [gone, kept] = [network.countFor(GONE), network.countFor(KEPT)];
        await clock.advance(20_000);
        assert.equal(network.countFor(GONE), gone);
        assert.ok(network.countFor(KEPT) > kept);
    });

    it("keeps a link that is in use", async () => {
        const { clock, links } = openLinks();
        const link = links.linkTo(GONE);
        for (let second = 0; second < 20; second++) {
            await clock.advance(1_000);
            void links.call(GONE, "any", {}, 100);
            links.retain([]);
        }
        assert.equal(links.linkTo(GONE), link);
    });
});
