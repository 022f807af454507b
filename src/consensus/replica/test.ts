import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterId, HostId, Incarnation, LogIndex, StoreId, Term } from "../../ids/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { SilentLogger } from "../../logging/index.js";
import { MemoryDisk, MemoryFabric, SeededRandom, VirtualClock } from "../../ports/index.js";
import { LogStore } from "../../store/index.js";
import { DEFAULT_PEER_TIMING, PeerRouter } from "../../wire/index.js";
import { encodePayload } from "../entryPayload/index.js";
import { Follower } from "../follower/index.js";
import { Leadership } from "../leadership/index.js";
import { DEFAULT_LOG_TIMING } from "../logTiming/index.js";
import { addLearner, Member } from "../member/index.js";
import { MembershipManager } from "../membershipManager/index.js";
import { VoteRequest } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { StateMachine } from "../stateMachine/index.js";
import { Replica } from "./index.js";

const CLUSTER = "cluster" as ClusterId;

class EmptyStateMachine extends StateMachine {
    apply(): void {}
    snapshot(): void {}
    restore(): void {}
}

function makeVoter(host: string, storeId: string): Member {
    const address = { host, port: 7000 };
    return { host: host as HostId, storeId: storeId as StoreId, address, role: "voter", since: 0 as LogIndex };
}

async function openReplica() {
    const clock = new VirtualClock();
    const disk = new MemoryDisk(clock);
    const openStore = () => LogStore.open({ disk, random: new SeededRandom(1) });
    const first = await openStore();
    const members = [makeVoter("a", first.identity.storeId), makeVoter("b", "b1"), makeVoter("c", "c1")];
    await first.saveIdentity(CLUSTER, { members, retired: [] });
    const entry = { kind: "command", command: "x", at: 0 } as const;
    await first.append([{ index: 1 as LogIndex, term: 1 as Term, payload: encodePayload(entry) }]);
    await first.close();
    const store = await openStore();
    const replica = new Replica({
        host: "a" as HostId,
        store,
        stateMachine: new EmptyStateMachine(),
        clock,
        timing: DEFAULT_LOG_TIMING,
        logger: new SilentLogger(),
        events: {
            onDurable: () => undefined,
            onApplied: () => undefined,
            onStepDown: () => undefined,
            onFailure: err => assert.fail(err),
        },
    });
    await clock.advance(DEFAULT_LOG_TIMING.leaseMs);
    return { clock, disk, openStore, replica };
}

async function startLeadership() {
    const { clock, replica } = await openReplica();
    const network = new MemoryFabric(clock, () => 1).network("a");
    const self = { host: "a" as HostId, incarnation: "1" as Incarnation };
    const linked = { network, clock, random: new SeededRandom(1), self, router: new PeerRouter() };
    const options = { ...linked, timing: DEFAULT_PEER_TIMING, logger: new SilentLogger() };
    await replica.startElectionTerm();
    replica.becomeLeader();
    const leadership = new Leadership(replica, new PeerLinks(options, new Lifecycle()), () => undefined);
    leadership.start();
    await clock.advance(10);
    return { replica, leadership, follower: leadership.replicatorOf("b1" as StoreId)! };
}

describe("Replica", () => {
    describe("a vote", () => {
        it("is on disk before the reply is sent", async () => {
            // Prevents two leaders in one term, which lose what one of them accepted. A host votes, loses power, comes
            // back and votes for another candidate in the same term, if its reply was sent before the vote was synced.
            const { clock, disk, openStore, replica } = await openReplica();
            disk.syncDurationMs = 5;
            const request = { cluster: CLUSTER, from: "b1", to: replica.storeId, term: 7, lastIndex: 1, lastTerm: 1 };
            const answering = new Follower(replica).handleVote({ ...request, pre: false } as VoteRequest);
            assert.equal((await clock.runUntil(answering, 100)).granted, true);
            disk.crash();
            assert.deepEqual((await openStore()).vote, { term: 7, votedFor: "b1" });
        });

        it("for itself is on disk before it requests votes from others", async () => {
            const { clock, disk, openStore, replica } = await openReplica();
            disk.syncDurationMs = 5;
            const term = await clock.runUntil(replica.startElectionTerm(), 100);
            disk.crash();
            assert.deepEqual((await openStore()).vote, { term, votedFor: replica.storeId });
        });
    });

    describe("an entry of an earlier term", () => {
        it("is not committed by counting its copies", async () => {
            // Prevents the next leader from reverting an accepted change. A leader finds an entry of an earlier term on
            // a majority, accepts it and goes down; a host whose last entry is newer is elected and overwrites it.
            // Copies alone must not commit an entry of an earlier term; a later entry of the leader's own term does.
            const { replica, follower } = await startLeadership();
            follower["recordMatch"](1 as LogIndex, 0);
            assert.equal(replica.commitIndex, 0);
            follower["recordMatch"](2 as LogIndex, 0);
            assert.equal(replica.commitIndex, 2);
        });
    });

    describe("a change of members", () => {
        it("is reverted when its entry is removed", async () => {
            const { replica } = await openReplica();
            const { configuration } = replica;
            const changed = addLearner(configuration, makeVoter("d", "d1"));
            const index = 2 as LogIndex;
            const change = encodePayload({ kind: "members", configuration: changed });
            replica.appendFromLeader([{ index, term: 2 as Term, payload: change }]);
            assert.deepEqual(replica.configuration, changed);
            const other = encodePayload({ kind: "term-start" });
            replica.appendFromLeader([{ index, term: 3 as Term, payload: other }]);
            assert.deepEqual(replica.configuration, configuration);
        });

        it("is refused to a second process of a host whose first is alive", async () => {
            // Prevents the permanent removal of a healthy host and its data folder when a second control process is
            // started with the same host name and an empty folder. An unknown folder of a known host must not always be
            // taken for a replaced disk.
            const { replica, follower, leadership } = await startLeadership();
            follower["recordMatch"](2 as LogIndex, 0);
            const address = { host: "b", port: 7001 };
            const membership = new MembershipManager(replica);
            const request = { cluster: CLUSTER, host: "b" as HostId, storeId: "b2" as StoreId, address };
            follower["lastContactAt"] = replica.clock.monotonic();
            assert.equal(membership.handleJoin(request, leadership).result, "busy");
            follower["lastContactAt"] = replica.clock.monotonic() - replica.timing.leaseMs;
            assert.equal(membership.handleJoin(request, leadership).result, "added");
        });

        it("waits for an entry of the leader's own term, and for the change before it", async () => {
            // Prevents accepted changes from being reverted by two leaders with disjoint majorities. A leader changes
            // the configuration while an older change of it is uncommitted and is later removed. Majorities of
            // configurations that are two changes apart need not overlap.
            const { replica, follower, leadership } = await startLeadership();
            const { configuration } = replica;
            const withD = addLearner(configuration, makeVoter("d", "d1"));
            assert.equal(leadership.changeMembers(withD), false);
            follower["recordMatch"](2 as LogIndex, 0);
            assert.equal(leadership.changeMembers(withD), true);
            assert.equal(leadership.changeMembers(addLearner(withD, makeVoter("e", "e1"))), false);
            assert.equal(replica.configuration.members.length, 4);
        });
    });
});
