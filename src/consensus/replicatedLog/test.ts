import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReplicaFleet } from "../../faultInjection/index.js";
import { SeededRandom } from "../../ports/index.js";

const SETTLE_MS = 30_000;

async function startFleet(seed = 1) {
    const fleet = new ReplicaFleet(new SeededRandom(seed), ["a", "b", "c"]);
    await fleet.startAll();
    await fleet.passUntil(() => fleet.isWhole(), SETTLE_MS);
    return fleet;
}

async function proposeMany(fleet: ReplicaFleet, count: number) {
    const before = fleet.acked.size;
    for (let done = 0; done < count; done++) fleet.propose(fleet.holder()!.process!);
    await fleet.passUntil(() => fleet.acked.size === before + count, SETTLE_MS);
}

async function passUntilAlike(fleet: ReplicaFleet) {
    const indexes = () => fleet.processes().map(({ log }) => log.appliedIndex());
    await fleet.passUntil(() => fleet.isWhole() && new Set(indexes()).size === 1, SETTLE_MS);
    fleet.checkAlike();
}

describe("ReplicatedLog", () => {
    describe("propose", () => {
        it("applies what was accepted on each replica", async () => {
            const fleet = await startFleet();
            await proposeMany(fleet, 200);
            await passUntilAlike(fleet);
            assert.equal(fleet.find("a").process!.recorder.commands.length, 200);
        });
    });

    describe("a restart of all replicas", () => {
        it("restores hundreds of changes", async () => {
            // A change that an operator saw accepted is gone after a power cut.
            // Hundreds of changes are accepted; all hosts lose power at once and come back.
            // Cause: an acknowledgement before the sync, or a snapshot that replaced entries it did not have.
            const fleet = await startFleet();
            await proposeMany(fleet, 300);
            for (const name of ["a", "b", "c"]) fleet.crash(name, 3);
            await fleet.startAll();
            await fleet.passUntil(() => fleet.isWhole(), SETTLE_MS);
            await passUntilAlike(fleet);
        });
    });
});
