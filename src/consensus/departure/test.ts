import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EAGER_LOG_TIMING, ReplicaFleet } from "../../faultInjection/index.js";
import { SeededRandom } from "../../ports/index.js";

const HOSTS = ["a", "b", "c", "d", "e"];
/** Time in which a planned stop ends without waiting for a timeout, in milliseconds. */
const PROMPT_MS = 500;

/** Starts five voters, and hosts that wait as learners. */
async function startFleet(successors: readonly string[] = [], seed = 1) {
    const options = { timing: EAGER_LOG_TIMING, targetVoters: HOSTS.length };
    const fleet = new ReplicaFleet(new SeededRandom(seed), HOSTS, options);
    await fleet.startAll();
    await fleet.advanceUntil(() => fleet.hasFullMembership());
    for (const name of successors) {
        fleet.addHost(name);
        await fleet.start(name);
    }
    await fleet.advanceUntil(() => fleet.hasFullMembership());
    await fleet.proposeMany(5);
    return fleet;
}

/** Stops hosts as planned, at the same time, for good. Returns the results. */
async function stopHosts(fleet: ReplicaFleet, names: readonly string[], limitMs = 4_000) {
    const results: (string | undefined)[] = names.map(() => undefined);
    names.forEach((name, at) => {
        void fleet.stop(name).then(result => {
            results[at] = result;
            fleet.hosts.delete(name);
        });
    });
    await fleet.advanceUntil(() => !results.includes(undefined), limitMs);
    return results;
}

function followersOf(fleet: ReplicaFleet) {
    return [...fleet.hosts.keys()].filter(name => name !== fleet.holder()!.name);
}

/** Two hosts lose their disks at the same moment, and come back. */
async function loseTwoDisks(fleet: ReplicaFleet) {
    const names = [...fleet.hosts.keys()];
    for (const name of names.slice(0, 2)) fleet.wipe(name);
    for (const name of names.slice(0, 2)) await fleet.start(name, undefined, names.slice(2));
    await fleet.converge();
}

describe("Departure", () => {
    describe("planned stops with successors that are ready", () => {
        it("leave as many voters as before, one stop after the other", async () => {
            // Guards against planned exchanges that end the majority, because those who left go on counting as voters.
            const fleet = await startFleet(["x", "y", "z"]);
            for (const delayMs of [1_300, 3_000, 0]) {
                const [result] = await stopHosts(fleet, [fleet.holder()!.name]);
                assert.equal(result, "left");
                assert.ok(fleet.hasFullMembership());
                await fleet.advance(delayMs);
            }
            await fleet.proposeMany(5);
            await loseTwoDisks(fleet);
        });

        for (let seed = 1; seed <= 4; seed++) {
            it(`leave as many voters as before when they overlap (seed ${seed})`, async () => {
                const fleet = await startFleet(["x", "y", "z"], seed);
                const leavers = [fleet.holder()!.name, ...followersOf(fleet).slice(0, 2)];
                const results = await stopHosts(fleet, leavers);
                assert.deepEqual(results, ["left", "left", "left"]);
                await fleet.advanceUntil(() => fleet.hasFullMembership(), PROMPT_MS);
                await loseTwoDisks(fleet);
            });
        }

        it("replace all hosts at once", async () => {
            const fleet = await startFleet(["v", "w", "x", "y", "z"]);
            await stopHosts(fleet, HOSTS, 8_000);
            await fleet.advanceUntil(() => fleet.hasFullMembership(), 8_000);
            await fleet.proposeMany(5);
        });
    });

    describe("a leader that stops", () => {
        it("is followed by another one at once", async () => {
            // Guards against a planned stop of the leader that costs a lease and an election.
            const fleet = await startFleet();
            const first = fleet.holder()!.name;
            const results = await stopHosts(fleet, [first], PROMPT_MS);
            assert.deepEqual(results, ["no-successor"]);
            await fleet.advanceUntil(() => fleet.holder() !== undefined, PROMPT_MS);
            await fleet.proposeMany(5);
        });

        it("keeps the entries that were proposed meanwhile, or refuses them", async () => {
            const fleet = await startFleet();
            const { name, process } = fleet.holder()!;
            const stopped = fleet.stop(name);
            for (let done = 0; done < 50; done++) {
                fleet.propose(process!);
                await fleet.advance(1);
            }
            await fleet.clock.runUntil(stopped, PROMPT_MS);
            await fleet.start(name);
            await fleet.converge();
        });
    });

    describe("a leader that stops among voters that joined later", () => {
        it("is followed by another one at once", async () => {
            // Guards against an election that can't reach voters to which nobody has opened a link yet.
            const fleet = await startFleet(["x", "y", "z"]);
            await stopHosts(fleet, followersOf(fleet).slice(0, 3));
            await fleet.advanceUntil(() => fleet.hasFullMembership(), PROMPT_MS);
            await fleet.advance(1_000);
            await stopHosts(fleet, [fleet.holder()!.name], PROMPT_MS);
            await fleet.advanceUntil(() => fleet.holder() !== undefined, PROMPT_MS);
        });
    });

    describe("without a successor", () => {
        it("does not wait", async () => {
            const fleet = await startFleet();
            const [name] = followersOf(fleet);
            assert.deepEqual(await stopHosts(fleet, [name], PROMPT_MS), ["no-successor"]);
        });

        it("ends in time when all hosts stop", async () => {
            const fleet = await startFleet();
            await stopHosts(fleet, HOSTS);
        });

        it("keeps the vote of a host that comes back", async () => {
            const fleet = await startFleet();
            const [name] = followersOf(fleet);
            const stopped = fleet.find(name);
            await stopHosts(fleet, [name]);
            fleet.hosts.set(name, stopped);
            await fleet.start(name);
            await fleet.converge();
        });
    });

    describe("a successor that is not ready", () => {
        it("is waited for", async () => {
            const fleet = await startFleet();
            const [name] = followersOf(fleet);
            const successor = fleet.addHost("x");
            await fleet.start("x");
            successor.disk.syncDurationMs = 200;
            const countMembers = () => fleet.holder()!.process!.log.configuration().members.length;
            await fleet.advanceUntil(() => countMembers() > HOSTS.length);
            const results = await stopHosts(fleet, [name]);
            assert.deepEqual(results, ["left"]);
            await fleet.advanceUntil(() => fleet.hasFullMembership(), PROMPT_MS);
        });
    });

    describe("a host that is killed while it hands over", () => {
        for (let delayMs = 5; delayMs <= 65; delayMs += 10) {
            it(`is no voter any more soon after (${delayMs} ms)`, async () => {
                const fleet = await startFleet(["x"]);
                const [name] = followersOf(fleet);
                void fleet.find(name).process!.log.leave(3_000);
                await fleet.advance(delayMs);
                fleet.removeHost(name, true);
                await fleet.advanceUntil(() => fleet.hasFullMembership(), 4_000);
            });
        }

        it("hands over nothing as the leader, and costs an election", async () => {
            const fleet = await startFleet(["x"]);
            const first = fleet.holder()!.name;
            void fleet.find(first).process!.log.leave(3_000);
            await fleet.advance(3);
            fleet.removeHost(first, true);
            await fleet.advanceUntil(() => fleet.hasFullMembership(), 8_000);
        });
    });
});
