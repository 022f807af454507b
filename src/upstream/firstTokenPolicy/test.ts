import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, RequestId, UpstreamId, ZoneId } from "../../ids/index.js";
import { SeededRandom } from "../../ports/index.js";
import { pickLeast } from "../_lib/pickLeast/index.js";
import { makeAnnouncement, pickExhaustively } from "../fixtures/index.js";
import { SelectionRequest } from "../selectionPolicy/index.js";
import { Upstream } from "../upstream/index.js";
import { UpstreamLoad } from "../upstreamLoad/index.js";
import { FirstTokenPolicy } from "./index.js";

function makeLoads(ids: readonly string[]): UpstreamLoad[] {
    return ids.map(id => makeLoad({ id }));
}

function makeLoad(fields: Parameters<typeof makeAnnouncement>[0]): UpstreamLoad {
    return new UpstreamLoad(new Upstream(makeAnnouncement({ slots: 64, ...fields }), 0, true));
}

let nextRequest = 0;
function makeRequest(parts: Partial<SelectionRequest> = {}): SelectionRequest {
    return {
        request: `r${++nextRequest}` as RequestId,
        pool: "draft" as PoolId,
        tier: 0,
        prefixes: [],
        parts: [],
        findSource: undefined,
        gapMs: undefined,
        eventTokens: 4,
        targetMs: 1_000,
        bodyBytes: 0,
        now: 0,
        ageMs: 0,
        promptTokens: 0,
        predictedTokens: 100,
        zone: "vogar" as ZoneId,
        ...parts,
    };
}

/** Chooses an upstream for a request, grants it, and returns the upstream's id. */
function grantToChosen(
    policy: FirstTokenPolicy,
    loads: readonly UpstreamLoad[],
    request: SelectionRequest,
): UpstreamId {
    const chosen = policy.choose(loads, request);
    const { load } = chosen;
    policy.granted(chosen, request);
    load.markSent(request.now);
    return load.upstream.id;
}

const DOCUMENT_PARTS = [{ id: "recipe", tokens: 13_000 }, { id: "own", tokens: 3_000 }];

describe("FirstTokenPolicy", () => {
    it("spreads a burst of long prompts, each grant counted at once", () => {
        const policy = new FirstTokenPolicy(() => undefined);
        const loads = makeLoads(["a", "b", "c", "d"]);
        const places = Array.from(
            { length: 8 },
            () => grantToChosen(policy, loads, makeRequest({ promptTokens: 10_000 })),
        );
        for (const { upstream } of loads) assert.equal(places.filter(id => id === upstream.id).length, 2);
    });

    it("prefers the holder of the prompt's shared parts, unless its backlog is longer than computing them again", () => {
        const policy = new FirstTokenPolicy(() => undefined);
        const loads = makeLoads(["a", "b"]);
        const makeDocumentRequest = (now: number): SelectionRequest =>
            makeRequest({ promptTokens: 16_000, parts: DOCUMENT_PARTS, now });
        const first = makeDocumentRequest(0);
        const home = grantToChosen(policy, loads, first);
        policy.ended(first.request, false, 500);
        const second = makeDocumentRequest(1_000);
        assert.equal(grantToChosen(policy, loads, second), home);
        policy.ended(second.request, false, 1_500);
        for (let i = 0; i < 8; i++) {
            const busy = makeRequest({ promptTokens: 20_000, now: 2_000 });
            policy.granted({ load: loads.find(({ upstream }) => upstream.id === home)!, reason: "" }, busy);
        }
        assert.notEqual(grantToChosen(policy, loads, makeDocumentRequest(2_000)), home);
    });

    it("finds the engine that holds parts after losing its own records", () => {
        // The entry that owned the queue was lost, and with it the knowledge of the engines' caches. Its successor
        // spread the same prompts over other engines, and each was computed again.
        const loads = makeLoads(["a", "b", "c", "d", "e"]);
        for (let subject = 0; subject < 20; subject++) {
            const parts = [{ id: `recipe-${subject}`, tokens: 13_000 }, { id: "own", tokens: 3_000 }];
            const first = grantToChosen(
                new FirstTokenPolicy(() => undefined),
                loads,
                makeRequest({ promptTokens: 16_000, parts }),
            );
            const next = grantToChosen(
                new FirstTokenPolicy(() => undefined),
                loads,
                makeRequest({ promptTokens: 16_000, parts }),
            );
            assert.equal(next, first);
        }
    });

    it("keeps long prompts away from streams for which the pause would be too long", () => {
        // Streams paused for half a second beside the prefill of a long prompt, and counted as late.
        const policy = new FirstTokenPolicy(() => undefined);
        const loads = makeLoads(["a", "b"]);
        const shortAt = grantToChosen(policy, loads, makeRequest({ promptTokens: 500, gapMs: 250 }));
        const longAt = grantToChosen(policy, loads, makeRequest({ promptTokens: 20_000, gapMs: 1_000, now: 500 }));
        assert.notEqual(longAt, shortAt);
    });

    it("separates pause-sensitive streams from long prompts, even with few engines", () => {
        // The engines of two zones were reclaimed during a burst, and the remaining ones served everything. Each engine
        // had some short and some long prompts, so that each long prompt made a few of the short ones late.
        const policy = new FirstTokenPolicy(() => undefined);
        const loads = makeLoads(["a", "b", "c", "d"]);
        const longAt = new Set<UpstreamId>();
        const shortAt = new Map<UpstreamId, number>();
        const running: SelectionRequest[] = [];
        for (let now = 0; now < 20_000; now += 100) {
            const isLong = now % 400 === 0;
            const size = isLong ? { promptTokens: 15_000, gapMs: 1_000 } : { promptTokens: 800, gapMs: 250 };
            const request = makeRequest({ ...size, now });
            const { load } = policy.choose(loads, request);
            policy.granted({ load, reason: "" }, request);
            policy.progressed(request.request, true, now + (isLong ? 330 : 46));
            running.push(request);
            while (running[0].now <= now - 1_500) policy.ended(running.shift()!.request, false, now + 60);
            const { id } = load.upstream;
            if (now < 5_000) continue;
            if (isLong) longAt.add(id);
            else shortAt.set(id, (shortAt.get(id) ?? 0) + 1);
        }
        const all = [...shortAt.values()].reduce((sum, count) => sum + count, 0);
        const mixed = [...longAt].reduce((sum, id) => sum + (shortAt.get(id) ?? 0), 0);
        assert.ok(mixed < 0.5 * all, `${mixed} of ${all} short prompts beside long ones`);
    });

    describe("streams with short pauses beside prompts that follow each other", () => {
        // Two zones were reclaimed while the number of long prompts doubled. Each long prompt was short enough for the
        // streams beside it, but three in a row were not: the engine prefilled them without a break, and the next event
        // of a stream came too late. Cause: a prompt was weighed alone, without those prefilled before it.
        const makeLongRequest = (now: number): SelectionRequest =>
            makeRequest({ promptTokens: 4_500, gapMs: 1_000, targetMs: 2_500, now });
        const makeStreamRequest = (now: number): SelectionRequest =>
            makeRequest({ promptTokens: 500, gapMs: 180, targetMs: 1_200, eventTokens: 8, predictedTokens: 250, now });

        /** Starts a stream that is still running: its latest event came a second later. */
        function startStream(policy: FirstTokenPolicy, load: UpstreamLoad, request: SelectionRequest): void {
            policy.granted({ load, reason: "" }, request);
            policy.progressed(request.request, true, request.now + 40);
            policy.progressed(request.request, false, request.now + 1_000);
        }

        it("are kept apart from the prompt that would make the prefill period too long", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const [streaming, prefilling] = makeLoads(["briefs", "itineraries"]);
            startStream(policy, streaming, makeStreamRequest(0));
            for (let i = 0; i < 3; i++) policy.granted({ load: prefilling, reason: "" }, makeLongRequest(1_000));
            const places = [1, 2, 3].map(() => grantToChosen(policy, [streaming, prefilling], makeLongRequest(1_000)));
            assert.deepEqual(places, ["briefs", "itineraries", "itineraries"]);
        });

        it("do not go where such prefill periods occurred recently", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const [prefilling, idle] = makeLoads(["itineraries", "idle"]);
            idle.markSent(0);
            for (let now = 0; now < 4_000; now += 500) {
                for (let i = 0; i < 4; i++) policy.granted({ load: prefilling, reason: "" }, makeLongRequest(now));
            }
            assert.equal(grantToChosen(policy, [prefilling, idle], makeStreamRequest(6_000)), "idle");
        });

        it("no longer count once they are late", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const [late, sound] = makeLoads(["late", "sound"]);
            startStream(policy, late, makeStreamRequest(0));
            startStream(policy, sound, makeStreamRequest(0));
            for (let i = 0; i < 4; i++) policy.granted({ load: late, reason: "" }, makeLongRequest(1_000));
            const places = Array.from(
                { length: 4 },
                () => grantToChosen(policy, [late, sound], makeLongRequest(1_500)),
            );
            assert.deepEqual(places, ["late", "sound", "late", "late"]);
        });

        it("are known to a new owner of the queue, which did not grant them", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const [streaming, prefilling] = makeLoads(["briefs", "itineraries"]);
            policy.adopted(streaming, makeStreamRequest(1_000), 500);
            for (let i = 0; i < 3; i++) policy.granted({ load: prefilling, reason: "" }, makeLongRequest(1_000));
            const places = [1, 2, 3].map(() => grantToChosen(policy, [streaming, prefilling], makeLongRequest(1_000)));
            assert.deepEqual(places, ["briefs", "itineraries", "itineraries"]);
        });
    });

    it("avoids an unresponsive engine within a second, though its connections are open", () => {
        // Callers waited until they gave up: an unresponsive engine accepted connections but answered no request, and
        // had the shortest backlog of all.
        const policy = new FirstTokenPolicy(() => undefined);
        const loads = makeLoads(["dark", "sound"]);
        const [unresponsive, sound] = loads;
        policy.granted({ load: unresponsive, reason: "" }, makeRequest({ promptTokens: 500, now: 0 }));
        const other = makeRequest({ promptTokens: 500, now: 0 });
        policy.granted({ load: sound, reason: "" }, other);
        for (let now = 0; now <= 1_000; now += 100) policy.progressed(other.request, now === 0, now);
        for (let i = 0; i < 5; i++) {
            assert.equal(grantToChosen(policy, loads, makeRequest({ promptTokens: 500, now: 1_000 })), "sound");
        }
    });

    it("sends prompts to engines that have memory left, though slots are free elsewhere", () => {
        // The number of long prompts doubled, and an engine with free slots had no memory left. It preempted running
        // requests, even more urgent ones, and prefilled them again. Cause: only slots were counted, but memory is full
        // long before they are.
        const policy = new FirstTokenPolicy(() => 20_000);
        const loads = makeLoads(["full", "roomy"]);
        const [full, roomy] = loads;
        for (let i = 0; i < 3; i++) {
            const running = makeRequest({ promptTokens: 6_000 });
            policy.granted({ load: full, reason: "" }, running);
            policy.progressed(running.request, true, 150);
            policy.progressed(running.request, false, 950);
        }
        policy.granted({ load: roomy, reason: "" }, makeRequest({ promptTokens: 9_000, now: 900 }));
        assert.equal(grantToChosen(policy, loads, makeRequest({ promptTokens: 6_000, now: 1_000 })), "roomy");
    });

    it("prefers upstreams that do not fail requests", () => {
        const policy = new FirstTokenPolicy(() => undefined);
        const loads = makeLoads(["grey", "sound"]);
        for (let i = 0; i < 10; i++) {
            const request = makeRequest();
            policy.granted({ load: loads[0], reason: "" }, request);
            policy.ended(request.request, true, 0);
        }
        assert.equal(grantToChosen(policy, loads, makeRequest({ now: 1_000 })), "sound");
    });

    describe("parts that another upstream holds", () => {
        // A zone's engines were about to be reclaimed, and documents cached there were requested again elsewhere. The
        // remaining engines prefilled each of them completely, and short prompts waited behind them for half a second.
        // Cause: the parts held by the leaving engines were not fetched while these were still there.
        const makeDocumentRequest = (now: number, sources: readonly UpstreamLoad[]): SelectionRequest =>
            makeRequest({
                promptTokens: 16_000,
                parts: DOCUMENT_PARTS,
                findSource: id => sources.find(({ upstream }) => upstream.id === id),
                now,
            });

        function runOnLeavingUpstream(policy: FirstTokenPolicy, loads: readonly UpstreamLoad[], now: number): void {
            const request = makeDocumentRequest(now, []);
            policy.granted({ load: loads[0], reason: "" }, request);
            policy.progressed(request.request, true, now + 300);
            policy.ended(request.request, false, now + 400);
        }

        it("are fetched from one that leaves", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const loads = makeLoads(["leaver", "stays"]);
            runOnLeavingUpstream(policy, loads, 0);
            const { fetch } = policy.choose([loads[1]], makeDocumentRequest(2_000, loads));
            assert.deepEqual([fetch?.from.upstream.id, fetch?.tokens], ["leaver", 13_000]);
        });

        it("are not fetched from one of another software version, or of an unknown one", () => {
            // What two versions write does not fit together.
            for (const software_version of ["2.0", undefined]) {
                const policy = new FirstTokenPolicy(() => undefined);
                const loads = [makeLoad({ id: "leaver", software_version }), makeLoad({ id: "stays" })];
                runOnLeavingUpstream(policy, loads, 0);
                assert.equal(policy.choose([loads[1]], makeDocumentRequest(2_000, loads)).fetch, undefined);
            }
        });

        it("are not fetched from one whose prefill of them is still running", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const loads = makeLoads(["leaver", "stays"]);
            policy.granted({ load: loads[0], reason: "" }, makeDocumentRequest(0, []));
            assert.equal(policy.choose([loads[1]], makeDocumentRequest(200, loads)).fetch, undefined);
        });

        it("are fetched as soon as a prompt with them has produced its first token there", () => {
            // Two callers asked for the same document within a second. The engine that prefilled it first had no time
            // for the second request, and another engine prefilled the document again.
            const policy = new FirstTokenPolicy(() => undefined);
            const loads = makeLoads(["first", "stays"]);
            const request = makeDocumentRequest(0, []);
            policy.granted({ load: loads[0], reason: "" }, request);
            policy.progressed(request.request, true, 300);
            assert.equal(policy.choose([loads[1]], makeDocumentRequest(400, loads)).fetch?.tokens, 13_000);
        });

        it("are not fetched from one that prefills other prompts first, however long ago they were sent", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const loads = makeLoads(["busy", "stays"]);
            for (let i = 0; i < 10; i++) {
                policy.granted({ load: loads[0], reason: "" }, makeRequest({ promptTokens: 20_000, now: 0 }));
            }
            policy.granted({ load: loads[0], reason: "" }, makeDocumentRequest(0, []));
            assert.equal(policy.choose([loads[1]], makeDocumentRequest(2_000, loads)).fetch, undefined);
        });

        it("are not fetched if they have not been used recently", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const loads = makeLoads(["leaver", "stays"]);
            runOnLeavingUpstream(policy, loads, 0);
            assert.equal(policy.choose([loads[1]], makeDocumentRequest(20_000, loads)).fetch, undefined);
        });

        it("are not fetched from an unresponsive one", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const loads = makeLoads(["dark", "stays"]);
            runOnLeavingUpstream(policy, loads, 0);
            policy.granted({ load: loads[0], reason: "" }, makeRequest({ promptTokens: 500, now: 1_000 }));
            assert.equal(policy.choose([loads[1]], makeDocumentRequest(4_000, loads)).fetch, undefined);
        });
    });

    describe("in a pool of many upstreams", () => {
        const ENGINE_COUNT = 60;
        const REQUESTS_PER_S = 300;
        const DURATION_S = 6;

        /**
         * Generates a seeded load of long prompts with shared parts and short prompts whose streams tolerate only short
         * pauses.
         */
        function* generateLoad(seed: number): Generator<SelectionRequest> {
            const random = new SeededRandom(seed);
            for (let index = 0; index < DURATION_S * REQUESTS_PER_S; index++) {
                const now = index * 1_000 / REQUESTS_PER_S;
                const subject = { id: `subject-${random.integer(0, 30)}`, tokens: 6_000 };
                const own = { id: `own-${index}`, tokens: random.integer(500, 4_000) };
                const isShort = index % 3 === 0;
                yield makeRequest({
                    now,
                    request: `r${index}` as RequestId,
                    parts: isShort ? [own] : [subject, own],
                    promptTokens: isShort ? own.tokens : subject.tokens + own.tokens,
                    gapMs: isShort ? 250 : 1_000,
                    zone: `zone-${index % 6}` as ZoneId,
                });
            }
        }

        /** Grants a whole load; each request produces its first token after a while, and ends two seconds later. */
        function grantAll(policy: FirstTokenPolicy, seed: number): UpstreamId[] {
            const loads = makeLoads(Array.from({ length: ENGINE_COUNT }, (_, index) => `engine-${index}`));
            const running: SelectionRequest[] = [];
            const prefilling: SelectionRequest[] = [];
            return [...generateLoad(seed)].map(request => {
                const { now } = request;
                while (prefilling[0]?.now <= now - 120) policy.progressed(prefilling.shift()!.request, true, now);
                while (running[0]?.now <= now - 2_000) {
                    const { request: ended } = running.shift()!;
                    policy.ended(ended, false, now, 180);
                }
                running.push(request);
                prefilling.push(request);
                return grantToChosen(policy, loads, request);
            });
        }

        it("chooses as if each of them had been weighed in full", () => {
            for (const seed of [1, 2, 3]) {
                const few = grantAll(new FirstTokenPolicy(() => 900_000), seed);
                const all = grantAll(new FirstTokenPolicy(() => 900_000, undefined, pickExhaustively), seed);
                assert.deepEqual(few, all);
            }
        });

        it("weighs few of them in full", () => {
            let offered = 0;
            let weighed = 0;
            const counting: typeof pickExhaustively = (items, floorOf, weigh) => {
                offered += items.length;
                return pickLeast(items, floorOf, (item, floor) => {
                    weighed++;
                    return weigh(item, floor);
                });
            };
            grantAll(new FirstTokenPolicy(() => 900_000, undefined, counting), 1);
            assert.ok(weighed < offered / 10, `${weighed} of ${offered}`);
        });
    });

    describe("streams that long prompts delay", () => {
        const STREAM = { gapMs: 250, eventTokens: 4, tier: 1, promptTokens: 500, targetMs: 1_000 };
        const LONG_PROMPT = { gapMs: 1_000, eventTokens: 4, tier: 2, promptTokens: 40_000, targetMs: 2_500 };

        /** Has streams run beside long prompts, which make them late, and then on all upstreams at once. */
        function runStreams(policy: FirstTokenPolicy, loads: readonly UpstreamLoad[]): void {
            for (let round = 0; round < 800; round += 100) {
                const stream = makeRequest({ ...STREAM, now: round });
                policy.granted({ load: loads[0], reason: "" }, stream);
                policy.progressed(stream.request, true, round + 40);
                const prompt = makeRequest({ ...LONG_PROMPT, now: round + 50 });
                policy.granted({ load: loads[0], reason: "" }, prompt);
                policy.ended(stream.request, false, 4_000, 280);
                policy.ended(prompt.request, false, 4_000);
            }
            for (const load of loads) policy.granted({ load, reason: "" }, makeRequest({ ...STREAM, now: 9_000 }));
            policy.granted({ load: loads[1], reason: "" }, makeRequest({ ...STREAM, now: 9_000 }));
        }

        function listIds(loads: readonly UpstreamLoad[]): string[] {
            return loads.map(({ upstream }) => upstream.id);
        }

        it("share an upstream, which other prompts leave to them", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const loads = makeLoads(["a", "b", "c", "d"]);
            runStreams(policy, loads);
            const now = 9_500;
            assert.deepEqual(listIds(policy.reserve(loads, makeRequest({ ...LONG_PROMPT, now }), loads)), [
                "a",
                "c",
                "d",
            ]);
            assert.deepEqual(listIds(policy.reserve(loads, makeRequest({ ...STREAM, now }), loads)), ["b"]);
            assert.equal(policy.isReserved("b" as UpstreamId), true);
        });

        it("let a less urgent prompt wait for another upstream, and a more urgent one only for a moment", () => {
            const policy = new FirstTokenPolicy(() => undefined);
            const loads = makeLoads(["a", "b", "c", "d"]);
            runStreams(policy, loads);
            const findFor = (fields: Partial<SelectionRequest>): string[] =>
                listIds(policy.reserve([loads[1]], makeRequest({ ...LONG_PROMPT, now: 9_500, ...fields }), loads));
            assert.deepEqual(findFor({ ageMs: 2_000 }), []);
            assert.deepEqual(findFor({ tier: 0 }), []);
            assert.deepEqual(findFor({ tier: 0, ageMs: 300 }), ["b"]);
        });
    });
});
