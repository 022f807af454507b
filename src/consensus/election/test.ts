import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FLEET_TIMING, ReplicaFleet } from "../../faultInjection/index.js";
import { SeededRandom } from "../../ports/index.js";

/** Elections start as soon as promises run out, which is when a second holder would be seen. */
const EAGER = { ...FLEET_TIMING, electionSpreadMs: 10 };
/** Just within the drift that the lease allows for. */
const SLOW = 0.9901;
const FAST = 1.0099;
const HOSTS = ["a", "b", "c"];

async function startFleet(seed: number, timing = FLEET_TIMING) {
    const fleet = new ReplicaFleet(new SeededRandom(seed), HOSTS, timing);
    await fleet.startAll();
    await fleet.passUntil(() => fleet.isWhole());
    return fleet;
}

async function cutOffHolder(fleet: ReplicaFleet) {
    const first = fleet.holder()!;
    await fleet.pass(fleet.random.between(0, 1_000));
    fleet.fabric.isolate(first.name, HOSTS, true);
    await fleet.passUntil(() => fleet.holder() !== undefined && fleet.holder() !== first);
    fleet.healAll();
    await fleet.passUntil(() => fleet.isWhole());
}

describe("Election", () => {
    describe("a holder that is cut off", () => {
        for (let seed = 1; seed <= 6; seed++) {
            it(`never holds the lease together with its successor when clocks drift, seed ${seed}`, async () => {
                // Upstreams get orders from two hosts for a few milliseconds.
                // The holder is cut off; its clock runs slow, the others' run fast; they elect another as soon as they may.
                // Cause: the lease is counted without a margin for the drift of clocks.
                const fleet = await startFleet(seed, EAGER);
                fleet.latency = () => 0;
                for (let round = 0; round < 4; round++) {
                    for (const { host } of fleet.processes()) host.clock.setRate(FAST);
                    fleet.holder()!.process!.host.clock.setRate(SLOW);
                    await cutOffHolder(fleet);
                }
            });

            it(`never holds it together with its successor when answers are slow, seed ${seed}`, async () => {
                // Upstreams get orders from two hosts for a third of a second.
                // Heartbeats arrive at once, their answers after 300 ms; then the holder is cut off.
                // Cause: the lease is counted from the answer, and the promise behind it is older.
                const fleet = await startFleet(seed, EAGER);
                const first = fleet.holder()!.name;
                fleet.latency = (_from, to) => to === first ? 300 : 1;
                await fleet.pass(5_000);
                await cutOffHolder(fleet);
            });
        }
    });

    describe("a host that does not hear the holder", () => {
        for (let seed = 1; seed <= 6; seed++) {
            it(`is not elected by one that does, seed ${seed}`, async () => {
                // Upstreams get orders from two hosts for half a second.
                // The link between the holder and one host fails; both still reach the third.
                // Cause: the third one votes although it has just renewed its promise to the holder.
                const fleet = await startFleet(seed);
                const { name, process } = fleet.holder()!;
                const other = HOSTS.find(host => host !== name)!;
                fleet.fabric.cut(name, other);
                fleet.fabric.cut(other, name);
                for (let step = 0; step < 50; step++) {
                    await fleet.pass(200);
                    assert.ok(process!.log.holdsLease());
                }
                fleet.healAll();
                await fleet.converge();
            });
        }
    });

    describe("a new leader whose disk is slow", () => {
        it("does not hold the lease before it has applied what was accepted", async () => {
            // An order goes out twice: the new holder did not know of the outcome that was accepted.
            // The holder goes down; the next leader's disk takes three seconds for each sync.
            // Cause: heartbeats are answered at once, and the lease is taken before the term's first entry is applied.
            const fleet = await startFleet(1);
            await fleet.proposeMany(20);
            const first = fleet.holder()!;
            for (const { disk, name } of fleet.hosts.values()) {
                if (name !== first.name) disk.syncMs = 3_000;
            }
            fleet.propose(first.process!);
            await fleet.passUntil(() => fleet.acked.size === 21);
            fleet.crash(first.name);
            await fleet.passUntil(() => fleet.holder() !== undefined);
        });
    });

    describe("voters that restart within the lease", () => {
        for (let seed = 1; seed <= 8; seed++) {
            it(`keep the promise they gave before, seed ${seed}`, async () => {
                // Upstreams get orders from two hosts for a second.
                // The holder is cut off, and the others are restarted at once, as in a rolling restart that meets a cut.
                // Cause: the restarted hosts have forgotten their promise and elect another at once.
                const fleet = await startFleet(seed, EAGER);
                const first = fleet.holder()!.name;
                const others = HOSTS.filter(name => name !== first);
                await fleet.pass(fleet.random.between(0, 500));
                fleet.fabric.isolate(first, others, true);
                for (const name of others) {
                    fleet.crash(name);
                    await fleet.start(name);
                }
                await fleet.passUntil(() => fleet.holder() !== undefined && fleet.holder()!.name !== first);
            });
        }
    });

    describe("a host that was cut off and returns", () => {
        it("does not unseat the holder", async () => {
            // Orders stop for seconds whenever a broken switch port comes back.
            // A follower is cut off for a minute, counts up terms meanwhile, and returns.
            // Cause: the holder gives way to the higher term.
            const fleet = await startFleet(1);
            const { name, process } = fleet.holder()!;
            const token = process!.log.fencingToken();
            const other = HOSTS.find(host => host !== name)!;
            fleet.fabric.isolate(other, HOSTS, true);
            await fleet.pass(60_000);
            fleet.healAll();
            for (let step = 0; step < 50; step++) {
                await fleet.pass(200);
                assert.ok(process!.log.holdsLease());
            }
            assert.equal(process!.log.fencingToken(), token);
            await fleet.converge();
        });
    });

    describe("a holder whose wall clock is set forward", () => {
        it("leads on, and holds the lease again within two heartbeats", async () => {
            // Changes are refused for two seconds whenever a time service corrects the clock of the host that leads.
            // The jump looks like sleep; the leader steps down, and the others wait out their promise before they elect another.
            // Cause: all its contacts seem older than a lease.
            const fleet = await startFleet(1);
            const { process } = fleet.holder()!;
            const token = process!.log.fencingToken();
            process!.host.clock.setForward(3_000);
            assert.equal(process!.log.holdsLease(), false);
            await fleet.pass(2 * FLEET_TIMING.heartbeatMs + 20);
            assert.equal(process!.log.holdsLease(), true);
            assert.equal(process!.log.fencingToken(), token);
            await fleet.converge();
        });
    });
});
