import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { UpstreamId } from "../../ids/index.js";
import { QuietCandidate, QuietUpstreams } from "./index.js";

const SLOTS = 10;

/** Makes one upstream for each number of sensitive streams. */
function makeCandidates(...streams: number[]): QuietCandidate[] {
    return streams.map((sensitiveStreams, index) => ({
        id: `u${index}` as UpstreamId,
        slots: SLOTS,
        sensitiveStreams,
    }));
}

describe("QuietUpstreams", () => {
    let quiet: QuietUpstreams;

    beforeEach(() => {
        quiet = new QuietUpstreams();
    });

    function listMembers(count: number): number[] {
        return Array.from({ length: count }, (_, index) => index).filter(index => quiet.has(`u${index}` as UpstreamId));
    }

    it("keeps no upstream where no stream is sensitive", () => {
        quiet.review(makeCandidates(0, 0, 0, 0, 0, 0, 0, 0), 0);
        assert.equal(quiet.size, 0);
    });

    it("keeps as few upstreams as the streams need, those with most of them", () => {
        quiet.review(makeCandidates(0, 1, 5, 0, 2, 1, 0, 0), 0);
        assert.deepEqual(listMembers(8), [2]);
        quiet.review(makeCandidates(0, 1, 9, 0, 2, 1, 0, 0), 100);
        assert.deepEqual(listMembers(8), [2, 4]);
    });

    it("keeps a quarter of the pool at most", () => {
        quiet.review(makeCandidates(9, 9, 9, 9, 9, 9, 9, 9), 0);
        assert.equal(quiet.size, 2);
        quiet.review(makeCandidates(9, 9, 9), 100);
        assert.equal(quiet.size, 0);
    });

    it("keeps its members while the number of streams falls for a moment", () => {
        quiet.review(makeCandidates(9, 9, 0, 0, 0, 0, 0, 0), 0);
        quiet.review(makeCandidates(0, 1, 2, 0, 0, 0, 0, 0), 1_000);
        assert.deepEqual(listMembers(8), [0, 1]);
        quiet.review(makeCandidates(0, 1, 2, 0, 0, 0, 0, 0), 4_000);
        assert.deepEqual(listMembers(8), [1]);
    });

    it("replaces a member that has gone", () => {
        quiet.review(makeCandidates(9, 0, 0, 0, 0), 0);
        quiet.review(makeCandidates(9, 0, 0, 0, 0).slice(1), 100);
        assert.equal(quiet.size, 1);
        assert.equal(quiet.has("u0" as UpstreamId), false);
    });
});
