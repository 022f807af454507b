import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReplicaFleet, runSchedule } from "../../faultInjection/index.js";
import { HostId } from "../../ids/index.js";
import { SeededRandom } from "../../ports/index.js";
import { encodeValue } from "../../wire/index.js";

const SEEDS = 24;
const STEPS = 10;

async function startFleet(seed = 1) {
    const fleet = new ReplicaFleet(new SeededRandom(seed), ["a", "b", "c"]);
    await fleet.startAll();
    await fleet.passUntil(() => fleet.isWhole());
    return fleet;
}

function namesBut(fleet: ReplicaFleet, ...names: string[]) {
    return [...fleet.hosts.keys()].filter(name => !names.includes(name));
}

describe("ReplicatedLog", () => {
    describe("propose", () => {
        it("applies what was accepted on each replica, in one order", async () => {
            const fleet = await startFleet();
            await fleet.proposeMany(200);
            await fleet.converge();
            assert.equal(fleet.find("a").process!.recorder.commands.length, 201);
        });

        it("names the holder when asked elsewhere", async () => {
            const fleet = await startFleet();
            const holder = fleet.holder()!;
            const other = fleet.find(namesBut(fleet, holder.name)[0]).process!;
            const result = await fleet.clock.runUntil(other.log.propose("x"), 100);
            result.ifLeft(err =>
                assert.deepEqual([err.reason, err.mayCommit, err.holder], ["not-holder", false, holder.name])
            );
            assert.ok(result.isLeft());
        });
    });

    describe("random schedules of faults", () => {
        for (let seed = 1; seed <= SEEDS; seed++) {
            it(`keeps every promise with seed ${seed}`, async () => {
                // An accepted change is lost, doubled or reverted, or two hosts act at once.
                // Crashes, torn tails, lost disks, cuts, freezes, full and slow disks, and changes of members, at random.
                // Cause: whichever guard the schedule finds missing.
                await runSchedule(seed, STEPS);
            });
        }
    });

    describe("a restart of all replicas", () => {
        it("restores hundreds of changes", async () => {
            // A change that an operator saw accepted is gone after a power cut.
            // Hundreds of changes are accepted; all hosts lose power at once and come back.
            // Cause: an acknowledgement before the sync, or a snapshot that replaced entries it did not have.
            const fleet = await startFleet();
            await fleet.proposeMany(300);
            for (const name of fleet.hosts.keys()) fleet.crash(name, 3);
            await fleet.startAll();
            await fleet.converge();
        });
    });

    describe("a holder that is frozen and wakes", () => {
        it("does not hold the lease on waking, and its successor's token is greater", async () => {
            // Upstreams get orders from two hosts.
            // The holder's process is stopped for a minute; another takes over; the first wakes and goes on.
            // Cause: the lease is a flag that only a timer clears, and the timer has not run yet.
            const fleet = await startFleet();
            const first = fleet.holder()!.process!;
            const token = first.log.fencingToken();
            first.host.freeze();
            await fleet.passUntil(() => fleet.holder() !== undefined && fleet.holder()!.process !== first);
            assert.ok(fleet.holder()!.process!.log.fencingToken() > token);
            assert.equal(first.log.holdsLease(), false);
            first.host.thaw();
            fleet.checkInvariants();
            await fleet.converge();
        });

        it("tells its listeners", async () => {
            const fleet = await startFleet();
            const first = fleet.holder()!.process!;
            const told: boolean[] = [];
            first.log.onHolderChange(holds => told.push(holds));
            first.host.freeze();
            await fleet.pass(10_000);
            first.host.thaw();
            await fleet.pass(1_000);
            assert.deepEqual(told, [false]);
        });
    });

    describe("a holder that no longer hears the others", () => {
        it("steps down, so that another is elected", async () => {
            // All changes hang although a majority of the hosts works.
            // What the others send to the holder is lost; what it sends arrives.
            // Cause: its heartbeats keep the others from electing another leader.
            const fleet = await startFleet();
            const first = fleet.holder()!;
            for (const other of namesBut(fleet, first.name)) fleet.fabric.cut(other, first.name);
            await fleet.passUntil(() => fleet.holder() !== undefined && fleet.holder() !== first, 20_000);
        });
    });

    describe("a holder that is cut off from all", () => {
        it("tells its proposers that their entry may be lost", async () => {
            // A change neither succeeds nor fails: the operator's tool waits for good.
            // The holder is cut off while a change is under way.
            // Cause: the holder goes on leading for as long as it hears of no later term.
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
            // Orders stop for seconds whenever a disk is busy.
            // One of three hosts is down, and each sync of another takes five seconds.
            // Cause: a heartbeat is answered only after the sync that came before it.
            const fleet = await startFleet();
            const holder = fleet.holder()!;
            const [slow, down] = namesBut(fleet, holder.name);
            fleet.crash(down);
            fleet.find(slow).disk.syncMs = 5_000;
            fleet.propose(holder.process!);
            for (let step = 0; step < 40; step++) {
                await fleet.pass(100);
                assert.ok(holder.process!.log.holdsLease());
            }
            await fleet.passUntil(() => fleet.acked.size === 1);
        });
    });

    describe("a connection that has gone silent", () => {
        it("does not cost the holder its lease", async () => {
            // Orders stop for seconds although both hosts are up and can reach each other.
            // One of three hosts is down; a middlebox forgets the connections between the other two.
            // Cause: the connection is found dead only after the lease has run out.
            const fleet = await startFleet();
            const holder = fleet.holder()!;
            const [other, down] = namesBut(fleet, holder.name);
            fleet.crash(down);
            for (let round = 0; round < 10; round++) {
                fleet.fabric.forget(holder.name, other);
                for (let step = 0; step < 40; step++) {
                    await fleet.pass(100);
                    assert.ok(holder.process!.log.holdsLease());
                }
            }
        });
    });

    describe("a full disk at the holder", () => {
        it("hands over to another and loses nothing", async () => {
            // Changes are refused for as long as one host's disk is full, or an accepted one is gone.
            // The holder's disk fills up while changes come in; later there is space again.
            // Cause: the holder goes on leading without being able to write.
            const fleet = await startFleet();
            await fleet.proposeMany(20);
            const first = fleet.holder()!;
            first.disk.capacity = 1;
            fleet.propose(first.process!);
            await fleet.passUntil(() => fleet.holder() !== undefined && fleet.holder() !== first);
            await fleet.proposeMany(20);
            fleet.mendDisks();
            await fleet.converge();
        });
    });

    describe("a replica that was down for long", () => {
        it("gets the leader's snapshot in chunks", async () => {
            const fleet = await startFleet();
            const lagging = namesBut(fleet, fleet.holder()!.name)[0];
            fleet.crash(lagging);
            for (let round = 0; round < 30; round++) await fleet.proposeMany(5, "x".repeat(10_000));
            await fleet.start(lagging);
            await fleet.converge();
        });
    });

    describe("readBarrier", () => {
        it("waits until a follower has what was accepted before", async () => {
            const fleet = await startFleet();
            const follower = fleet.find(namesBut(fleet, fleet.holder()!.name)[0]).process!;
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
            await fleet.pass(3_000);
            const result = await fleet.clock.runUntil(holder.process!.log.readBarrier(1_000), 3_000);
            assert.ok(result.isLeft());
        });
    });

    describe("an entry of a newer version", () => {
        it("stops an older replica instead of being skipped", async () => {
            // Hosts answer differently for good after a rolling restart.
            // A host of the new version leads and writes an entry that the old version does not know.
            // Cause: the old one skips it.
            const fleet = await startFleet();
            const holder = fleet.holder()!.process!;
            const other = fleet.find(namesBut(fleet, fleet.holder()!.name)[0]).process!;
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
            await fleet.pass(2_000);
            assert.match(String(stoppedBy), /version 99/);
            for (const { log } of fleet.processes()) assert.ok(log.appliedIndex() < entry.index);
        });
    });

    describe("a field that a replica does not know", () => {
        it("reaches the other replicas", async () => {
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
