import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FLEET_TIMING, ReplicaFleet } from "../../faultInjection/index.js";
import { SeededRandom } from "../../ports/index.js";

/** Elections start as soon as nothing forbids it, which is when a second holder would be seen. */
const EAGER = { ...FLEET_TIMING, electionSpreadMs: 50 };
const HOSTS = ["a", "b", "c", "d", "e"];
/** Drawn by lot, and those at which a candidate that began too late once unseated the first leader. */
const SEEDS = [1, 2, 3, 4, 5, 6, 67, 172, 199, 285, 313, 370];

async function startFleet(seed: number) {
    const fleet = new ReplicaFleet(new SeededRandom(seed), HOSTS, EAGER);
    await fleet.startAll();
    await fleet.passUntil(() => fleet.isWhole());
    await fleet.pass(fleet.random.between(0, 2_000));
    return fleet;
}

async function restart(fleet: ReplicaFleet, names: readonly string[]) {
    for (const name of names) fleet.crash(name);
    for (const name of names) await fleet.start(name);
}

/** How long a fleet is without a holder from now on, in milliseconds. */
async function measureGap(fleet: ReplicaFleet) {
    const startedAt = fleet.clock.monotonic();
    await fleet.passUntil(() => fleet.holder() !== undefined);
    return fleet.clock.monotonic() - startedAt;
}

describe("RestartPause", () => {
    describe("all replicas restart together", () => {
        for (const seed of SEEDS) {
            it(`elects a holder long before a lease could have ended, seed ${seed}`, async () => {
                // Callers get nothing for two seconds after a loss of power, of which the processes need a tenth to start.
                // All replicas lose power and come back at the same time.
                // Cause: each waits out a lease that nobody can hold any more.
                const fleet = await startFleet(seed);
                await fleet.proposeMany(3);
                await restart(fleet, HOSTS);
                const gapMs = await measureGap(fleet);
                assert.ok(gapMs < EAGER.leaseMs / 4, `${gapMs} ms without a holder`);
                await fleet.converge();
            });
        }
    });

    describe("all replicas restart, a minority of them with empty disks", () => {
        for (const seed of SEEDS) {
            it(`elects a holder as soon, and loses nothing, seed ${seed}`, async () => {
                // The same two seconds without service, where two of five disks are lost in the power cut.
                // The hosts with new disks are no voters any more, and their old identities never answer.
                // Cause: an identity that can't answer is taken for one that may lead.
                const fleet = await startFleet(seed);
                await fleet.proposeMany(3);
                for (const name of HOSTS.slice(0, 2)) fleet.wipe(name);
                await restart(fleet, HOSTS);
                const gapMs = await measureGap(fleet);
                assert.ok(gapMs < EAGER.leaseMs / 4, `${gapMs} ms without a holder`);
                await fleet.converge();
            });
        }
    });

    describe("disks that were lost before", () => {
        for (const seed of SEEDS) {
            it(`do not count against a later restart of all, seed ${seed}`, async () => {
                // The same two seconds without service on the days on which hosts had lost their disks hours before.
                // One disk is lost and replaced, then two others in a power cut of all.
                // Cause: identities that were removed long ago are still asked for an answer.
                const fleet = await startFleet(seed);
                fleet.wipe("e");
                await fleet.start("e");
                await fleet.converge();
                for (const name of HOSTS.slice(0, 2)) fleet.wipe(name);
                await restart(fleet, HOSTS);
                const gapMs = await measureGap(fleet);
                assert.ok(gapMs < EAGER.leaseMs / 4, `${gapMs} ms without a holder`);
                await fleet.converge();
            });
        }
    });

    describe("a replica that stays away", () => {
        for (const seed of SEEDS) {
            it(`leaves the pause at its full time, seed ${seed}`, async () => {
                // Upstreams get orders from two hosts for a second.
                // The holder is cut off while all others restart; it may count on their promises until its lease ends.
                // Cause: the others take its silence for a sign that it has gone.
                const fleet = await startFleet(seed);
                const first = fleet.holder()!.name;
                const others = HOSTS.filter(name => name !== first);
                fleet.fabric.isolate(first, others, true);
                await restart(fleet, others);
                const successor = () => fleet.holder() !== undefined && fleet.holder()!.name !== first;
                const startedAt = fleet.clock.monotonic();
                await fleet.passUntil(successor);
                assert.ok(fleet.clock.monotonic() - startedAt > EAGER.leaseMs * 0.9);
            });
        }
    });

    describe("a holder that others can reach", () => {
        for (const seed of SEEDS) {
            it(`keeps the lease while all others restart, seed ${seed}`, async () => {
                // Two hosts act at once for a moment in a rolling restart.
                // All but the holder restart together while it goes on.
                // Cause: they have forgotten it and elect another before it has reached them again.
                const fleet = await startFleet(seed);
                const first = fleet.holder()!.name;
                await restart(fleet, HOSTS.filter(name => name !== first));
                await fleet.pass(3 * EAGER.leaseMs);
                await fleet.converge();
            });
        }
    });
});
