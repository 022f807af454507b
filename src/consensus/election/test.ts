import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FLEET_TIMING, ReplicaFleet } from "../../faultInjection/index.js";
import { SeededRandom } from "../../ports/index.js";

/** Elections start as soon as promises run out, which is when a second holder would be seen. */
const EAGER = { ...FLEET_TIMING, electionSpreadMs: 60 };

async function startFleet(seed: number, timing = FLEET_TIMING) {
    const fleet = new ReplicaFleet(new SeededRandom(seed), ["a", "b", "c"], timing);
    await fleet.startAll();
    await fleet.passUntil(() => fleet.isWhole());
    return fleet;
}

describe("Election", () => {
    describe("a holder that is cut off", () => {
        for (let seed = 1; seed <= 8; seed++) {
            it(`never holds the lease together with its successor, seed ${seed}`, async () => {
                // Upstreams get orders from two hosts for a few milliseconds.
                // The holder is cut off; its clock runs slow, the others' run fast; they elect another as soon as they may.
                // Cause: the lease is counted from the answer, or without a margin for the drift of clocks.
                const fleet = new ReplicaFleet(new SeededRandom(seed), ["a", "b", "c"], EAGER);
                for (const name of ["a", "b", "c"]) fleet.addHost(name, name === "a" ? 0.9901 : 1.0099);
                await fleet.startAll();
                await fleet.passUntil(() => fleet.isWhole());
                for (let round = 0; round < 4; round++) {
                    const first = fleet.holder()!;
                    await fleet.pass(fleet.random.between(0, 1_000));
                    fleet.fabric.isolate(first.name, ["a", "b", "c"], true);
                    await fleet.passUntil(() => fleet.holder() !== undefined && fleet.holder() !== first);
                    fleet.healAll();
                    await fleet.passUntil(() => fleet.isWhole());
                }
            });
        }
    });

    describe("voters that restart within the lease", () => {
        for (let seed = 1; seed <= 8; seed++) {
            it(`keep the promise they gave before, seed ${seed}`, async () => {
                // Upstreams get orders from two hosts for a second.
                // The holder is cut off, and the others are restarted at once, as in a rolling restart that meets a cut.
                // Cause: the restarted hosts have forgotten their promise and elect another at once.
                const fleet = await startFleet(seed, EAGER);
                const first = fleet.holder()!.name;
                const others = ["a", "b", "c"].filter(name => name !== first);
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
            const other = ["a", "b", "c"].find(host => host !== name)!;
            fleet.fabric.isolate(other, ["a", "b", "c"], true);
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
});
