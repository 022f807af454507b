import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FLEET_LOG_TIMING, ReplicaFleet } from "../../faultInjection/index.js";
import { SeededRandom } from "../../ports/index.js";

/** Short election delays, so that a premature election shows up as a second lease holder. */
const EAGER_TIMING = { ...FLEET_LOG_TIMING, electionSpreadMs: 50 };
const HOSTS = ["a", "b", "c", "d", "e"];
/** Arbitrary seeds, and those with which a late candidate unseated the first leader. */
const SEEDS = [1, 2, 3, 4, 5, 6, 67, 172, 199, 285, 313, 370];

async function startFleet(seed: number) {
    const fleet = new ReplicaFleet(new SeededRandom(seed), HOSTS, { timing: EAGER_TIMING });
    await fleet.startAll();
    await fleet.advanceUntil(() => fleet.hasFullMembership());
    await fleet.advance(fleet.random.between(0, 2_000));
    return fleet;
}

async function restart(fleet: ReplicaFleet, names: readonly string[]) {
    for (const name of names) fleet.crash(name);
    for (const name of names) await fleet.start(name);
}

/** Returns how long the fleet has no holder from now on, in milliseconds. */
async function measureMsWithoutHolder(fleet: ReplicaFleet) {
    const startedAt = fleet.clock.monotonic();
    await fleet.advanceUntil(() => fleet.holder() !== undefined);
    return fleet.clock.monotonic() - startedAt;
}

describe("RestartPause", () => {
    describe("all replicas restart together", () => {
        for (const seed of SEEDS) {
            it(`elects a holder long before a lease could have ended, seed ${seed}`, async () => {
                // Prevents two seconds without service after a power loss of all replicas, whose processes start in a
                // tenth of that time. The replicas must not wait for the end of a lease that nobody can hold any more.
                const fleet = await startFleet(seed);
                await fleet.proposeMany(3);
                await restart(fleet, HOSTS);
                const gapMs = await measureMsWithoutHolder(fleet);
                assert.ok(gapMs < EAGER_TIMING.leaseMs / 4, `${gapMs} ms without a holder`);
                await fleet.converge();
            });
        }
    });

    describe("all replicas restart, a minority of them with empty disks", () => {
        for (const seed of SEEDS) {
            it(`elects a holder as early and loses no accepted entry, seed ${seed}`, async () => {
                // Prevents the same outage of two seconds when two of five disks are lost in the power cut. The hosts
                // with new disks are no longer voters, and their old identities never reply. An identity that can't
                // reply must not be treated as a possible leader.
                const fleet = await startFleet(seed);
                await fleet.proposeMany(3);
                for (const name of HOSTS.slice(0, 2)) fleet.wipe(name);
                await restart(fleet, HOSTS);
                const gapMs = await measureMsWithoutHolder(fleet);
                assert.ok(gapMs < EAGER_TIMING.leaseMs / 4, `${gapMs} ms without a holder`);
                await fleet.converge();
            });
        }
    });

    describe("disks that were lost before", () => {
        for (const seed of SEEDS) {
            it(`do not delay a later restart of all replicas, seed ${seed}`, async () => {
                // Prevents the same outage of two seconds when hosts had lost their disks hours before. One disk is
                // lost and replaced, then two others in a power cut of all hosts. Identities that were removed long ago
                // must not be queried.
                const fleet = await startFleet(seed);
                fleet.wipe("e");
                await fleet.start("e");
                await fleet.converge();
                for (const name of HOSTS.slice(0, 2)) fleet.wipe(name);
                await restart(fleet, HOSTS);
                const gapMs = await measureMsWithoutHolder(fleet);
                assert.ok(gapMs < EAGER_TIMING.leaseMs / 4, `${gapMs} ms without a holder`);
                await fleet.converge();
            });
        }
    });

    describe("a replica that does not reply", () => {
        for (const seed of SEEDS) {
            it(`does not shorten the pause, seed ${seed}`, async () => {
                // Prevents two hosts from sending orders to upstreams for a second. The holder is cut off while all
                // others restart, and it may rely on their promises until its lease ends. The others must not take its
                // missing reply as a sign that it has ended.
                const fleet = await startFleet(seed);
                const first = fleet.holder()!.name;
                const others = HOSTS.filter(name => name !== first);
                fleet.fabric.isolate(first, others, true);
                await restart(fleet, others);
                const successor = () => fleet.holder() !== undefined && fleet.holder()!.name !== first;
                const startedAt = fleet.clock.monotonic();
                await fleet.advanceUntil(successor);
                assert.ok(fleet.clock.monotonic() - startedAt > EAGER_TIMING.leaseMs * 0.9);
            });
        }
    });

    describe("a holder that stays reachable", () => {
        for (const seed of SEEDS) {
            it(`keeps the lease while all others restart, seed ${seed}`, async () => {
                // Prevents two hosts from acting at the same time in a rolling restart. All hosts but the holder
                // restart together. They have lost their promises to it and must not elect another leader before it has
                // contacted them again.
                const fleet = await startFleet(seed);
                const first = fleet.holder()!.name;
                await restart(fleet, HOSTS.filter(name => name !== first));
                await fleet.advance(3 * EAGER_TIMING.leaseMs);
                await fleet.converge();
            });
        }
    });
});
