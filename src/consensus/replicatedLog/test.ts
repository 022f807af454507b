import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReplicaFleet, runReplicaSchedule } from "../../faultInjection/index.js";
import { HostId } from "../../ids/index.js";
import { SeededRandom } from "../../ports/index.js";
import { encodeValue } from "../../wire/index.js";

const SEED_COUNT = 24;
const LIMITED_SEED_COUNT = 8;
const STEP_COUNT = 10;

async function startFleet(seed = 1) {
    const fleet = new ReplicaFleet(new SeededRandom(seed), ["a", "b", "c"]);
    await fleet.startAll();
    await fleet.advanceUntil(() => fleet.hasFullMembership());
    return fleet;
}

function namesExcept(fleet: ReplicaFleet, ...names: string[]) {
    return [...fleet.hosts.keys()].filter(name => !names.includes(name));
}

describe("ReplicatedLog", () => {
    describe("propose", () => {
        it("applies accepted entries on each replica, in the same order", async () => {
            const fleet = await startFleet();
            await fleet.proposeMany(200);
            await fleet.converge();
            assert.equal(fleet.find("a").process!.recorder.commands.length, 201);
        });

        it("names the holder when called on another replica", async () => {
            const fleet = await startFleet();
            const holder = fleet.holder()!;
            const other = fleet.find(namesExcept(fleet, holder.name)[0]).process!;
            const result = await fleet.clock.runUntil(other.log.propose("x"), 100);
            result.ifLeft(err =>
                assert.deepEqual([err.reason, err.mayCommit, err.holder], ["not-holder", false, holder.name])
            );
            assert.ok(result.isLeft());
        });
    });

    describe("random schedules of faults", () => {
        for (let seed = 1; seed <= SEED_COUNT; seed++) {
            it(`upholds all invariants with seed ${seed}`, async () => {
                // Prevents accepted changes from being lost, duplicated or reverted, and two hosts from acting at the
                // same time. Applies random crashes, torn writes, lost disks, network cuts, freezes, full and slow
                // disks, and membership changes. A failure shows that a safeguard is missing.
                await runReplicaSchedule(seed, STEP_COUNT);
            });
        }
    });

    describe("random schedules of faults with a limit of voters", () => {
        for (let seed = 1; seed <= LIMITED_SEED_COUNT; seed++) {
            it(`upholds all invariants with seed ${seed}`, async () => {
                // Guards against accepted changes that are lost because a removed voter returns.
                await runReplicaSchedule(seed, STEP_COUNT, true);
            });
        }
    });

    describe("a restart of all replicas", () => {
        it("restores hundreds of changes", async () => {
            // Prevents the loss of an acknowledged change after a power cut. Hundreds of changes are accepted, and all
            // hosts lose power at the same time and come back. Causes would be an acknowledgement before the sync, or a
            // snapshot that replaced entries it did not contain.
            const fleet = await startFleet();
            await fleet.proposeMany(300);
            for (const name of fleet.hosts.keys()) fleet.crash(name, 3);
            await fleet.startAll();
            await fleet.converge();
        });
    });

    describe("a holder that is frozen and resumes", () => {
        it("does not hold the lease on resuming, and its successor's token is greater", async () => {
            // Prevents two hosts from sending orders to upstreams. The holder's process is stopped for a minute,
            // another takes over, and the first resumes. The lease must not be a flag that only a timer clears, since
            // the timer has not run yet.
            const fleet = await startFleet();
            const first = fleet.holder()!.process!;
            const token = first.log.fencingToken();
            first.host.freeze();
            await fleet.advanceUntil(() => fleet.holder() !== undefined && fleet.holder()!.process !== first);
            assert.ok(fleet.holder()!.process!.log.fencingToken() > token);
            assert.equal(first.log.holdsLease(), false);
            first.host.thaw();
            fleet.checkInvariants();
            await fleet.converge();
        });

        it("notifies its listeners", async () => {
            const fleet = await startFleet();
            const first = fleet.holder()!.process!;
            const notified: boolean[] = [];
            first.log.onHolderChange(holds => notified.push(holds));
            first.host.freeze();
            await fleet.advance(10_000);
            first.host.thaw();
            await fleet.advance(1_000);
            assert.deepEqual(notified, [false]);
        });
    });

    describe("a holder that receives nothing from the others", () => {
        it("steps down, so that another is elected", async () => {
            // Prevents changes from hanging although a majority of the hosts works. Messages to the holder are lost
            // while its own arrive, so that its heartbeats keep the others from electing another leader.
            const fleet = await startFleet();
            const first = fleet.holder()!;
            for (const other of namesExcept(fleet, first.name)) fleet.fabric.cut(other, first.name);
            await fleet.advanceUntil(() => fleet.holder() !== undefined && fleet.holder() !== first, 20_000);
        });
    });

    describe("a holder that is cut off from all", () => {
        it("reports to its proposers that their entry may be lost", async () => {
            // Prevents a change from neither succeeding nor failing, so that the operator's tool waits forever. The
            // holder is cut off while a change is pending, and must not keep leading until it learns of a later term.
            const fleet = await startFleet();
            const holder = fleet.holder()!;
            fleet.fabric.isolate(holder.name, [...fleet.hosts.keys()], true);
            const result = await fleet.clock.runUntil(holder.process!.log.propose("x"), 10_000);
            result.ifLeft(err => assert.deepEqual([err.reason, err.mayCommit], ["lost", true]));
            assert.ok(result.isLeft());
        });
    });

    describe("a slow disk", () => {
        it("does not cost the holder its lease", async () => {
            // Prevents orders from stopping for seconds whenever a disk is busy. One of three hosts is down, and each
            // sync of another takes five seconds. A heartbeat must not wait for the sync before it.
            const fleet = await startFleet();
            const holder = fleet.holder()!;
            const [slow, down] = namesExcept(fleet, holder.name);
            fleet.crash(down);
            fleet.find(slow).disk.syncDurationMs = 5_000;
            fleet.propose(holder.process!);
            for (let step = 0; step < 40; step++) {
                await fleet.advance(100);
                assert.ok(holder.process!.log.holdsLease());
            }
            await fleet.advanceUntil(() => fleet.acceptedCommands.size === 1);
        });
    });

    describe("a connection that has gone silent", () => {
        it("does not cost the holder its lease", async () => {
            // Prevents orders from stopping for seconds although both hosts are up and can reach each other. One of
            // three hosts is down, and a middlebox drops the connections between the other two. The dead connection
            // must be detected before the lease expires.
            const fleet = await startFleet();
            const holder = fleet.holder()!;
            const [other, down] = namesExcept(fleet, holder.name);
            fleet.crash(down);
            for (let round = 0; round < 10; round++) {
                fleet.fabric.blackholeConnections(holder.name, other);
                for (let step = 0; step < 40; step++) {
                    await fleet.advance(100);
                    assert.ok(holder.process!.log.holdsLease());
                }
            }
        });
    });

    describe("a full disk at the holder", () => {
        it("hands over to another host and loses no accepted entry", async () => {
            // Prevents changes from being refused while one host's disk is full, and the loss of accepted changes. The
            // holder's disk fills up while changes arrive, and later has free space again. The holder must not continue
            // to lead without being able to write.
            const fleet = await startFleet();
            await fleet.proposeMany(20);
            const first = fleet.holder()!;
            first.disk.capacityBytes = 1;
            fleet.propose(first.process!);
            await fleet.advanceUntil(() => fleet.holder() !== undefined && fleet.holder() !== first);
            await fleet.proposeMany(20);
            fleet.repairDisks();
            await fleet.converge();
        });
    });

    describe("a replica that was down for long", () => {
        it("gets the leader's snapshot in chunks", async () => {
            const fleet = await startFleet();
            const lagging = namesExcept(fleet, fleet.holder()!.name)[0];
            fleet.crash(lagging);
            for (let round = 0; round < 30; round++) await fleet.proposeMany(5, "x".repeat(10_000));
            await fleet.start(lagging);
            await fleet.converge();
        });
    });

    describe("readBarrier", () => {
        it("waits until a follower has applied all entries accepted before", async () => {
            const fleet = await startFleet();
            const follower = fleet.find(namesExcept(fleet, fleet.holder()!.name)[0]).process!;
            await fleet.proposeMany(10);
            const accepted = fleet.holder()!.process!.log.appliedIndex();
            const result = await fleet.clock.runUntil(follower.log.readBarrier(2_000), 3_000);
            assert.ok(Number(result.extract()) >= accepted);
            assert.ok(follower.log.appliedIndex() >= accepted);
        });

        it("fails on a host that is cut off", async () => {
            const fleet = await startFleet();
            const holder = fleet.holder()!;
            fleet.fabric.isolate(holder.name, [...fleet.hosts.keys()], true);
            await fleet.advance(3_000);
            const result = await fleet.clock.runUntil(holder.process!.log.readBarrier(1_000), 3_000);
            assert.ok(result.isLeft());
        });
    });

    describe("an entry of a newer version", () => {
        it("stops an older replica instead of being skipped", async () => {
            // Prevents hosts from giving permanently different answers after a rolling restart. A leader of a newer
            // version appends an entry that an older replica does not know, and the older replica must not skip it.
            const fleet = await startFleet();
            const holder = fleet.holder()!.process!;
            const other = fleet.find(namesExcept(fleet, fleet.holder()!.name)[0]).process!;
            let stoppedBy: Error | undefined;
            void other.log.stopped.then(err => stoppedBy = err);
            const replica = holder.log["replica"];
            const entry = {
                index: replica.log.lastIndex + 1,
                term: replica.term,
                payload: encodeValue({ version: 99 }),
            };
            replica.log.append([entry as never]);
            holder.log["leadership"]!["wakeReplicators"]();
            fleet.propose(holder);
            await fleet.advance(2_000);
            assert.match(String(stoppedBy), /version 99/);
            for (const { log } of fleet.processes()) assert.ok(log.appliedIndex() < entry.index);
        });
    });

    describe("a field that a replica does not know", () => {
        it("is preserved on the other replicas", async () => {
            const fleet = await startFleet();
            const holder = fleet.holder()!.process!;
            const replica = holder.log["replica"];
            const payload = encodeValue({ version: 1, kind: "command", command: "newer", at: 0, region: "north" });
            replica.log.append([{ index: replica.log.lastIndex + 1, term: replica.term, payload } as never]);
            await fleet.converge();
            for (const { log } of fleet.processes()) {
                const stored = log["replica"].log.entryAt(log.appliedIndex() - 1 as never)!;
                assert.deepEqual(Buffer.from(stored.payload), Buffer.from(payload));
            }
        });
    });

    describe("holder", () => {
        it("is the same for all while nothing fails", async () => {
            const fleet = await startFleet();
            const name: HostId = fleet.holder()!.name;
            assert.deepEqual(fleet.processes().map(({ log }) => log.holder()), [name, name, name]);
        });
    });
});
