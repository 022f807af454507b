import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, LogIndex, StoreId } from "../../ids/index.js";
import { Configuration, Member } from "../member/index.js";
import { MemberFacts, planMemberChange } from "./index.js";

function makeMember(name: string, role: Member["role"] = "voter", since = 0): Member {
    const [host] = name;
    return {
        host: host as HostId,
        storeId: name as StoreId,
        address: { host, port: 1 },
        role,
        since: since as LogIndex,
    };
}

const VOTERS = ["a", "b", "c"].map(name => makeMember(name));
const LEARNER = makeMember("x", "learner", 9);

function plan(members: readonly Member[], facts: Partial<MemberFacts> = {}) {
    const configuration: Configuration = { members, retired: [] };
    const noMembers = { unresponsive: [], lostLearners: [], caughtUp: [], leaving: [] };
    const defaults = { targetVoters: 3, leader: VOTERS[0].storeId, ...noMembers };
    const change = planMemberChange(configuration, { ...defaults, ...facts });
    return change && `${change.kind} ${change.member.storeId}`;
}

describe("planMemberChange", () => {
    it("changes nothing while all voters respond", () => {
        assert.equal(plan(VOTERS), undefined);
        assert.equal(plan([...VOTERS, LEARNER], { caughtUp: [LEARNER] }), undefined);
    });

    it("promotes a learner once it has caught up, while there are too few voters", () => {
        const members = [...VOTERS.slice(1), LEARNER];
        assert.equal(plan(members), undefined);
        assert.equal(plan(members, { caughtUp: [LEARNER] }), "promote x");
    });

    describe("a voter that does not respond", () => {
        it("stays without a learner to take its place", () => {
            assert.equal(plan([...VOTERS, LEARNER], { unresponsive: [VOTERS[1]] }), undefined);
        });

        it("is removed before its successor is promoted", () => {
            const facts = { unresponsive: [VOTERS[1]], caughtUp: [LEARNER] };
            assert.equal(plan([...VOTERS, LEARNER], facts), "remove b");
            assert.equal(plan([VOTERS[0], VOTERS[2], LEARNER], { caughtUp: [LEARNER] }), "promote x");
        });

        it("gives way after those that have been silent for longer", () => {
            const facts = { unresponsive: [VOTERS[2], VOTERS[1]], caughtUp: [LEARNER] };
            assert.equal(plan([...VOTERS, LEARNER], facts), "remove c");
        });
    });

    describe("a voter that is about to stop", () => {
        const leaving = [VOTERS[1]];

        it("stays a voter without a learner to take its place", () => {
            assert.equal(plan(VOTERS, { leaving }), undefined);
        });

        it("is removed after its successor was promoted", () => {
            assert.equal(plan([...VOTERS, LEARNER], { leaving, caughtUp: [LEARNER] }), "promote x");
            const promoted = makeMember("x", "voter", 9);
            assert.equal(plan([...VOTERS, promoted], { leaving }), "remove b");
        });

        it("is not removed while it leads", () => {
            const promoted = makeMember("x", "voter", 9);
            assert.equal(plan([...VOTERS, promoted], { leaving, leader: VOTERS[1].storeId }), undefined);
        });

        it("gets no successor that is about to stop itself", () => {
            assert.equal(
                plan([...VOTERS, LEARNER], { leaving: [...leaving, LEARNER], caughtUp: [LEARNER] }),
                undefined,
            );
        });

        it("is removed before another successor is promoted", () => {
            const promoted = makeMember("x", "voter", 9);
            const other = makeMember("y", "learner", 10);
            const facts = { leaving: [VOTERS[1], VOTERS[2]], caughtUp: [other] };
            assert.equal(plan([...VOTERS, promoted, other], facts), "remove b");
        });

        it("is removed though it was killed meanwhile", () => {
            const promoted = makeMember("x", "voter", 9);
            assert.equal(plan([...VOTERS, promoted], { unresponsive: leaving }), "remove b");
        });
    });

    describe("a learner that is lost", () => {
        it("is forgotten once nothing else is to be done", () => {
            const other = makeMember("y", "learner", 10);
            const members = [...VOTERS, LEARNER, other];
            assert.equal(plan(members, { lostLearners: [LEARNER] }), "remove x");
            const facts = { lostLearners: [LEARNER], unresponsive: [VOTERS[1]], caughtUp: [other] };
            assert.equal(plan(members, facts), "remove b");
        });
    });

    describe("a host with a newer data folder", () => {
        const newFolder = makeMember("b2", "learner", 12);

        it("loses the older one first", () => {
            const members = [...VOTERS, newFolder];
            assert.equal(plan(members), undefined);
            assert.equal(plan(members, { caughtUp: [newFolder] }), "remove b");
        });

        it("loses it though another learner waits as well", () => {
            // Guards against an empty folder of a voter that is not replaced because a spare host joined before it.
            const members = [...VOTERS, LEARNER, newFolder];
            assert.equal(plan(members, { caughtUp: [LEARNER, newFolder] }), "remove b");
        });
    });
});
