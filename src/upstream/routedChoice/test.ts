import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, RequestId, UpstreamId, ZoneId } from "../../ids/index.js";
import { SeededRandom } from "../../ports/index.js";
import { pickLeast } from "../_lib/pickLeast/index.js";
import { ChoiceRequest } from "../choice/index.js";
import { makeAnnouncement, pickExhaustively } from "../fixtures/index.js";
import { UpstreamLoad } from "../load/index.js";
import { Upstream } from "../upstream/index.js";
import { RoutedChoice } from "./index.js";

function makeLoads(ids: readonly string[]): UpstreamLoad[] {
    return ids.map(id => new UpstreamLoad(new Upstream(makeAnnouncement({ id, slots: 64 }), 0, true)));
}

let nextRequest = 0;
function makeRequest(parts: Partial<ChoiceRequest> = {}): ChoiceRequest {
    return {
        request: `r${++nextRequest}` as RequestId,
        pool: "draft" as PoolId,
        prefixes: [],
        parts: [],
        findSource: undefined,
        gapMs: undefined,
        eventTokens: 4,
        targetMs: 1_000,
        bodyBytes: 0,
        now: 0,
        promptTokens: 0,
        predictedTokens: 100,
        zone: "vogar" as ZoneId,
        ...parts,
    };
}

/** Places a request, and gives where. */
function place(choice: RoutedChoice, loads: readonly UpstreamLoad[], request: ChoiceRequest): UpstreamId {
    const chosen = choice.choose(loads, request);
    const { load } = chosen;
    choice.granted(chosen, request);
    load.markSent(request.now);
    return load.upstream.id;
}

const SHEET = [{ id: "recipe", tokens: 13_000 }, { id: "own", tokens: 3_000 }];

describe("RoutedChoice", () => {
    it("spreads a burst of long prompts, each grant counted at once", () => {
        const choice = new RoutedChoice(() => undefined);
        const loads = makeLoads(["a", "b", "c", "d"]);
        const places = Array.from({ length: 8 }, () => place(choice, loads, makeRequest({ promptTokens: 10_000 })));
        for (const { upstream } of loads) assert.equal(places.filter(id => id === upstream.id).length, 2);
    });

    it("goes where the prompt's shared parts are held, unless the way there is longer than reading them again", () => {
        const choice = new RoutedChoice(() => undefined);
        const loads = makeLoads(["a", "b"]);
        const sheet = (now: number): ChoiceRequest => makeRequest({ promptTokens: 16_000, parts: SHEET, now });
        const first = sheet(0);
        const home = place(choice, loads, first);
        choice.ended(first.request, false, 500);
        const second = sheet(1_000);
        assert.equal(place(choice, loads, second), home);
        choice.ended(second.request, false, 1_500);
        for (let i = 0; i < 8; i++) {
            const busy = makeRequest({ promptTokens: 20_000, now: 2_000 });
            choice.granted({ load: loads.find(({ upstream }) => upstream.id === home)!, reason: "" }, busy);
        }
        assert.notEqual(place(choice, loads, sheet(2_000)), home);
    });

    it("finds the engine that holds parts again after it has lost its memory", () => {
        // An entry that owns the queue is lost, and with it what it knew of the engines' caches. Its successor spread the same
        // prompts over other engines, and each was read once more.
        const loads = makeLoads(["a", "b", "c", "d", "e"]);
        for (let subject = 0; subject < 20; subject++) {
            const parts = [{ id: `recipe-${subject}`, tokens: 13_000 }, { id: "own", tokens: 3_000 }];
            const first = place(new RoutedChoice(() => undefined), loads, makeRequest({ promptTokens: 16_000, parts }));
            const next = place(new RoutedChoice(() => undefined), loads, makeRequest({ promptTokens: 16_000, parts }));
            assert.equal(next, first);
        }
    });

    it("keeps long prompts away from streams that can't bear the pause", () => {
        // Answers to customers stand still for half a second while a cutting sheet is read beside them, and count as late.
        const choice = new RoutedChoice(() => undefined);
        const loads = makeLoads(["a", "b"]);
        const question = place(choice, loads, makeRequest({ promptTokens: 500, gapMs: 250 }));
        const sheet = place(choice, loads, makeRequest({ promptTokens: 20_000, gapMs: 1_000, now: 500 }));
        assert.notEqual(sheet, question);
    });

    it("parts streams that can't bear a pause from long prompts, also when engines are few", () => {
        // Two zones' engines are taken back in a burst, and all that is left serves everything. Each engine had some questions and
        // some sheets, so that each sheet made a few questions late.
        const choice = new RoutedChoice(() => undefined);
        const loads = makeLoads(["a", "b", "c", "d"]);
        const sheetsAt = new Set<UpstreamId>();
        const questionsAt = new Map<UpstreamId, number>();
        const running: ChoiceRequest[] = [];
        for (let now = 0; now < 20_000; now += 100) {
            const isSheet = now % 400 === 0;
            const size = isSheet ? { promptTokens: 15_000, gapMs: 1_000 } : { promptTokens: 800, gapMs: 250 };
            const request = makeRequest({ ...size, now });
            const { load } = choice.choose(loads, request);
            choice.granted({ load: load, reason: "" }, request);
            choice.progressed(request.request, true, now + (isSheet ? 330 : 46));
            running.push(request);
            while (running[0].now <= now - 1_500) choice.ended(running.shift()!.request, false, now + 60);
            const { id } = load.upstream;
            if (now < 5_000) continue;
            if (isSheet) sheetsAt.add(id);
            else questionsAt.set(id, (questionsAt.get(id) ?? 0) + 1);
        }
        const all = [...questionsAt.values()].reduce((sum, count) => sum + count, 0);
        const mixed = [...sheetsAt].reduce((sum, id) => sum + (questionsAt.get(id) ?? 0), 0);
        assert.ok(mixed < 0.5 * all, `${mixed} of ${all} questions beside sheets`);
    });

    describe("streams with short pauses beside prompts that follow each other", () => {
        // A platform takes two zones back while itineraries double. Each itinerary is short enough for the briefs that stream beside it, but three
        // in a row are not: the engine reads them without a break, and a brief's next event comes too late. Cause: a prompt was weighed
        // alone, without those that are read before it.
        const itinerary = (now: number): ChoiceRequest =>
            makeRequest({ promptTokens: 4_500, gapMs: 1_000, targetMs: 2_500, now });
        const brief = (now: number): ChoiceRequest =>
            makeRequest({ promptTokens: 500, gapMs: 180, targetMs: 1_200, eventTokens: 8, predictedTokens: 250, now });

        /** A stream that goes on: its latest event came a second later. */
        function startStream(choice: RoutedChoice, load: UpstreamLoad, request: ChoiceRequest): void {
            choice.granted({ load, reason: "" }, request);
            choice.progressed(request.request, true, request.now + 40);
            choice.progressed(request.request, false, request.now + 1_000);
        }

        it("are kept apart from the prompt that would make the row too long", () => {
            const choice = new RoutedChoice(() => undefined);
            const [busy, read] = makeLoads(["briefs", "itineraries"]);
            startStream(choice, busy, brief(0));
            for (let i = 0; i < 3; i++) choice.granted({ load: read, reason: "" }, itinerary(1_000));
            const places = [1, 2, 3].map(() => place(choice, [busy, read], itinerary(1_000)));
            assert.deepEqual(places, ["briefs", "itineraries", "itineraries"]);
        });

        it("do not go where such rows were read of late", () => {
            const choice = new RoutedChoice(() => undefined);
            const [read, idle] = makeLoads(["itineraries", "idle"]);
            idle.markSent(0);
            for (let now = 0; now < 4_000; now += 500) {
                for (let i = 0; i < 4; i++) choice.granted({ load: read, reason: "" }, itinerary(now));
            }
            assert.equal(place(choice, [read, idle], brief(6_000)), "idle");
        });

        it("protect nothing once they are late", () => {
            const choice = new RoutedChoice(() => undefined);
            const [late, sound] = makeLoads(["late", "sound"]);
            startStream(choice, late, brief(0));
            startStream(choice, sound, brief(0));
            for (let i = 0; i < 4; i++) choice.granted({ load: late, reason: "" }, itinerary(1_000));
            const places = Array.from({ length: 4 }, () => place(choice, [late, sound], itinerary(1_500)));
            assert.deepEqual(places, ["late", "sound", "late", "late"]);
        });

        it("are known to a new owner of the queue, which did not grant them", () => {
            const choice = new RoutedChoice(() => undefined);
            const [busy, read] = makeLoads(["briefs", "itineraries"]);
            choice.adopted(busy, brief(1_000), 500);
            for (let i = 0; i < 3; i++) choice.granted({ load: read, reason: "" }, itinerary(1_000));
            const places = [1, 2, 3].map(() => place(choice, [busy, read], itinerary(1_000)));
            assert.deepEqual(places, ["briefs", "itineraries", "itineraries"]);
        });
    });

    it("leaves an engine that has gone dark within a second, though its connections are open", () => {
        // Customers wait until they give up. An engine goes dark; new connections to it are made, requests get no answer, and it
        // has the shortest backlog of all.
        const choice = new RoutedChoice(() => undefined);
        const loads = makeLoads(["dark", "sound"]);
        const [dark, sound] = loads;
        choice.granted({ load: dark, reason: "" }, makeRequest({ promptTokens: 500, now: 0 }));
        const other = makeRequest({ promptTokens: 500, now: 0 });
        choice.granted({ load: sound, reason: "" }, other);
        for (let now = 0; now <= 1_000; now += 100) choice.progressed(other.request, now === 0, now);
        for (let i = 0; i < 5; i++) {
            assert.equal(place(choice, loads, makeRequest({ promptTokens: 500, now: 1_000 })), "sound");
        }
    });

    it("sends prompts on to engines that have memory left, though slots are free elsewhere", () => {
        // Itineraries double, and an engine with free slots has no memory for them. It puts requests back that run already, more urgent
        // ones too, and reads them once more. Cause: slots alone were counted, and memory is full long before they are.
        const choice = new RoutedChoice(() => 20_000);
        const loads = makeLoads(["full", "roomy"]);
        const [full, roomy] = loads;
        for (let i = 0; i < 3; i++) {
            const running = makeRequest({ promptTokens: 6_000 });
            choice.granted({ load: full, reason: "" }, running);
            choice.progressed(running.request, true, 150);
            choice.progressed(running.request, false, 950);
        }
        choice.granted({ load: roomy, reason: "" }, makeRequest({ promptTokens: 9_000, now: 900 }));
        assert.equal(place(choice, loads, makeRequest({ promptTokens: 6_000, now: 1_000 })), "roomy");
    });

    it("prefers upstreams that do not fail requests", () => {
        const choice = new RoutedChoice(() => undefined);
        const loads = makeLoads(["grey", "sound"]);
        for (let i = 0; i < 10; i++) {
            const request = makeRequest();
            choice.granted({ load: loads[0], reason: "" }, request);
            choice.ended(request.request, true, 0);
        }
        assert.equal(place(choice, loads, makeRequest({ now: 1_000 })), "sound");
    });

    describe("parts that another upstream holds", () => {
        // A zone's engines are about to be taken back, and documents that were read there are asked for again elsewhere.
        // The engines that stay read each of them from the start, and short questions wait behind them for half a second.
        // Cause: what the leaving engines hold is not asked for while they are still there.
        const sheet = (now: number, sources: readonly UpstreamLoad[]): ChoiceRequest =>
            makeRequest({
                promptTokens: 16_000,
                parts: SHEET,
                findSource: id => sources.find(({ upstream }) => upstream.id === id),
                now,
            });

        function placeAtLeaver(choice: RoutedChoice, loads: readonly UpstreamLoad[], now: number): void {
            const request = sheet(now, []);
            choice.granted({ load: loads[0], reason: "" }, request);
            choice.progressed(request.request, true, now + 300);
            choice.ended(request.request, false, now + 400);
        }

        it("are fetched from one that leaves", () => {
            const choice = new RoutedChoice(() => undefined);
            const loads = makeLoads(["leaver", "stays"]);
            placeAtLeaver(choice, loads, 0);
            const { fetch } = choice.choose([loads[1]], sheet(2_000, loads));
            assert.deepEqual([fetch?.from.upstream.id, fetch?.tokens], ["leaver", 13_000]);
        });

        it("are not fetched where they are still being read", () => {
            const choice = new RoutedChoice(() => undefined);
            const loads = makeLoads(["leaver", "stays"]);
            choice.granted({ load: loads[0], reason: "" }, sheet(0, []));
            assert.equal(choice.choose([loads[1]], sheet(200, loads)).fetch, undefined);
        });

        it("are fetched as soon as a prompt with them has shown its first token there", () => {
            // Two callers ask for the same document within a second, and the engine that read it first has no time for the second one: the other
            // engine read it from the start.
            const choice = new RoutedChoice(() => undefined);
            const loads = makeLoads(["first", "stays"]);
            const request = sheet(0, []);
            choice.granted({ load: loads[0], reason: "" }, request);
            choice.progressed(request.request, true, 300);
            assert.equal(choice.choose([loads[1]], sheet(400, loads)).fetch?.tokens, 13_000);
        });

        it("are not fetched from one that reads other prompts first, however long ago they were sent", () => {
            const choice = new RoutedChoice(() => undefined);
            const loads = makeLoads(["busy", "stays"]);
            for (let i = 0; i < 10; i++) {
                choice.granted({ load: loads[0], reason: "" }, makeRequest({ promptTokens: 20_000, now: 0 }));
            }
            choice.granted({ load: loads[0], reason: "" }, sheet(0, []));
            assert.equal(choice.choose([loads[1]], sheet(2_000, loads)).fetch, undefined);
        });

        it("are not fetched once they have not been used for long", () => {
            const choice = new RoutedChoice(() => undefined);
            const loads = makeLoads(["leaver", "stays"]);
            placeAtLeaver(choice, loads, 0);
            assert.equal(choice.choose([loads[1]], sheet(20_000, loads)).fetch, undefined);
        });

        it("are not fetched from one that has fallen silent", () => {
            const choice = new RoutedChoice(() => undefined);
            const loads = makeLoads(["dark", "stays"]);
            placeAtLeaver(choice, loads, 0);
            choice.granted({ load: loads[0], reason: "" }, makeRequest({ promptTokens: 500, now: 1_000 }));
            assert.equal(choice.choose([loads[1]], sheet(4_000, loads)).fetch, undefined);
        });
    });

    describe("in a pool of many upstreams", () => {
        const ENGINES = 60;
        const REQUESTS_A_SECOND = 300;
        const SECONDS = 6;

        /** A seeded load of long prompts with shared parts beside questions whose streams bear short pauses. */
        function* drawLoad(seed: number): Generator<ChoiceRequest> {
            const random = new SeededRandom(seed);
            for (let index = 0; index < SECONDS * REQUESTS_A_SECOND; index++) {
                const now = index * 1_000 / REQUESTS_A_SECOND;
                const subject = { id: `subject-${random.integer(0, 30)}`, tokens: 6_000 };
                const own = { id: `own-${index}`, tokens: random.integer(500, 4_000) };
                const isQuestion = index % 3 === 0;
                yield makeRequest({
                    now,
                    request: `r${index}` as RequestId,
                    parts: isQuestion ? [own] : [subject, own],
                    promptTokens: isQuestion ? own.tokens : subject.tokens + own.tokens,
                    gapMs: isQuestion ? 250 : 1_000,
                    zone: `zone-${index % 6}` as ZoneId,
                });
            }
        }

        /** Places a whole load; each request shows its first token after a while, and ends two seconds later. */
        function placeAll(choice: RoutedChoice, seed: number): UpstreamId[] {
            const loads = makeLoads(Array.from({ length: ENGINES }, (_, index) => `engine-${index}`));
            const running: ChoiceRequest[] = [];
            const reading: ChoiceRequest[] = [];
            return [...drawLoad(seed)].map(request => {
                const { now } = request;
                while (reading[0]?.now <= now - 120) choice.progressed(reading.shift()!.request, true, now);
                while (running[0]?.now <= now - 2_000) {
                    const { request: ended } = running.shift()!;
                    choice.ended(ended, false, now, 180);
                }
                running.push(request);
                reading.push(request);
                return place(choice, loads, request);
            });
        }

        it("chooses as if each of them had been weighed in full", () => {
            for (const seed of [1, 2, 3]) {
                const few = placeAll(new RoutedChoice(() => 900_000), seed);
                const all = placeAll(new RoutedChoice(() => 900_000, undefined, pickExhaustively), seed);
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
            placeAll(new RoutedChoice(() => 900_000, undefined, counting), 1);
            assert.ok(weighed < offered / 10, `${weighed} of ${offered}`);
        });
    });
});
