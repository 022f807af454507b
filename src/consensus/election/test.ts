import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FLEET_LOG_TIMING, ReplicaFleet } from "../../faultInjection/index.js";
import { SeededRandom } from "../../ports/index.js";

/** Short election delays, so that a premature election shows up as a second lease holder. */
const EAGER_TIMING = { ...FLEET_LOG_TIMING, electionSpreadMs: 10 };
/** Clock rates just within the drift that the lease allows for. */
const SLOW_CLOCK_RATE = 0.9901;
const FAST_CLOCK_RATE = 1.0099;
const HOSTS = ["a", "b", "c"];

async function startFleet(seed: number, timing = FLEET_LOG_TIMING) {
    const fleet = new ReplicaFleet(new SeededRandom(seed), HOSTS, { timing });
    await fleet.startAll();
    await fleet.advanceUntil(() => fleet.hasFullMembership());
    return fleet;
}

async function cutOffHolder(fleet: ReplicaFleet) {
    const first = fleet.holder()!;
    await fleet.advance(fleet.random.between(0, 1_000));
    fleet.fabric.isolate(first.name, HOSTS, true);
    await fleet.advanceUntil(() => fleet.holder() !== undefined && fleet.holder() !== first);
    fleet.healAll();
    await fleet.advanceUntil(() => fleet.hasFullMembership());
}

describe("Election", () => {
    describe("a holder that is cut off", () => {
        for (let seed = 1; seed <= 6; seed++) {
            it(`never holds the lease together with its successor when clocks drift, seed ${seed}`, async () => {
                // Prevents two hosts from sending orders to upstreams for a few milliseconds. The holder is cut off
                // with a slow clock, and the others, whose clocks are fast, elect another leader as early as they may.
                // The lease must include a margin for clock drift.
                const fleet = await startFleet(seed, EAGER_TIMING);
                fleet.latency = () => 0;
                for (let round = 0; round < 4; round++) {
                    for (const { host } of fleet.processes()) host.clock.setRate(FAST_CLOCK_RATE);
                    fleet.holder()!.process!.host.clock.setRate(SLOW_CLOCK_RATE);
                    await cutOffHolder(fleet);
                }
            });

            it(`never holds it together with its successor when replies are slow, seed ${seed}`, async () => {
                // Prevents two hosts from sending orders to upstreams for a third of a second. Heartbeats arrive at
                // once and their replies after 300 ms; then the holder is cut off. The lease must not be counted from
                // the reply, because the promise behind it is older.
                const fleet = await startFleet(seed, EAGER_TIMING);
                const first = fleet.holder()!.name;
                fleet.latency = (_from, to) => to === first ? 300 : 1;
                await fleet.advance(5_000);
                await cutOffHolder(fleet);
            });
        }
    });

    describe("a host that receives nothing from the holder", () => {
        for (let seed = 1; seed <= 6; seed++) {
            it(`is not elected by one that does, seed ${seed}`, async () => {
                // Prevents two hosts from sending orders to upstreams for half a second. The link between the holder
                // and one host fails, and both still reach the third. The third host must not vote while its promise to
                // the holder is in effect.
                const fleet = await startFleet(seed);
                const { name, process } = fleet.holder()!;
                const other = HOSTS.find(host => host !== name)!;
                fleet.fabric.cut(name, other);
                fleet.fabric.cut(other, name);
                for (let step = 0; step < 50; step++) {
                    await fleet.advance(200);
                    assert.ok(process!.log.holdsLease());
                }
                fleet.healAll();
                await fleet.converge();
            });
        }
    });

    describe("a new leader whose disk is slow", () => {
        it("does not hold the lease before it has applied all accepted entries", async () => {
            // Prevents an order from being sent twice because the new holder does not know its accepted outcome. The
            // holder goes down, and the next leader's disk takes three seconds for each sync. Heartbeats are answered
            // at once, but the lease must not be held before the term's first entry is applied.
            const fleet = await startFleet(1);
            await fleet.proposeMany(20);
            const first = fleet.holder()!;
            for (const { disk, name } of fleet.hosts.values()) {
                if (name !== first.name) disk.syncDurationMs = 3_000;
            }
            fleet.propose(first.process!);
            await fleet.advanceUntil(() => fleet.acceptedCommands.size === 21);
            fleet.crash(first.name);
            await fleet.advanceUntil(() => fleet.holder() !== undefined);
        });
    });

    describe("voters that restart within the lease", () => {
        for (let seed = 1; seed <= 8; seed++) {
            it(`respect promises from before the restart, seed ${seed}`, async () => {
                // Prevents two hosts from sending orders to upstreams for a second. The holder is cut off and the
                // others are restarted at once, as when a rolling restart coincides with a network failure. The
                // restarted hosts have lost their promises and must not elect another leader immediately.
                const fleet = await startFleet(seed, EAGER_TIMING);
                const first = fleet.holder()!.name;
                const others = HOSTS.filter(name => name !== first);
                await fleet.advance(fleet.random.between(0, 500));
                fleet.fabric.isolate(first, others, true);
                for (const name of others) {
                    fleet.crash(name);
                    await fleet.start(name);
                }
                await fleet.advanceUntil(() => fleet.holder() !== undefined && fleet.holder()!.name !== first);
            });
        }
    });

    describe("a host that was cut off and returns", () => {
        it("does not unseat the holder", async () => {
            // Prevents orders from stopping for seconds whenever a failed switch port recovers. A follower that was cut
            // off for a minute, and would count up terms meanwhile, must not unseat the holder with a higher term when
            // it returns.
            const fleet = await startFleet(1);
            const { name, process } = fleet.holder()!;
            const token = process!.log.fencingToken();
            const other = HOSTS.find(host => host !== name)!;
            fleet.fabric.isolate(other, HOSTS, true);
            await fleet.advance(60_000);
            fleet.healAll();
            for (let step = 0; step < 50; step++) {
                await fleet.advance(200);
                assert.ok(process!.log.holdsLease());
            }
            assert.equal(process!.log.fencingToken(), token);
            await fleet.converge();
        });
    });

    describe("a holder whose wall clock is set forward", () => {
        it("keeps leading, and holds the lease again within two heartbeats", async () => {
            // Prevents changes from being refused for two seconds whenever a time service corrects the clock of the
            // leader's host. The jump looks like a suspended machine and makes all contacts appear older than a lease.
            // The leader must not step down, which would make the others wait for the end of their promises before they
            // elect another leader.
            const fleet = await startFleet(1);
            const { process } = fleet.holder()!;
            const token = process!.log.fencingToken();
            process!.host.clock.stepWallClock(3_000);
            assert.equal(process!.log.holdsLease(), false);
            await fleet.advance(2 * FLEET_LOG_TIMING.heartbeatMs + 20);
            assert.equal(process!.log.holdsLease(), true);
            assert.equal(process!.log.fencingToken(), token);
            await fleet.converge();
        });
    });
});
