import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, RoutedFleetOptions, TestReply } from "../../faultInjection/index.js";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { findHeader } from "../../ports/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const CRASHING = "a prompt that no engine survives";
const PATH = "/orders/7";
const ENTRIES = 4;
const UPSTREAMS = 8;
const UPSTREAM = { slots: 24, workMs: 60, crashesOn: CRASHING, restartMs: 3_000 };
const ROUTE = { kind: "once", attempts: 1, timeoutMs: 4_000, targetMs: 600 };
const PARTS = { routes: [makeRoute(ROUTE)] };
/** Number of upstreams that a request may crash before it is quarantined. */
const MAX_CRASHES = 3;
/** Time after that in which it may still reach an upstream, in milliseconds: calls already sent, and hosts that have not received the quarantine. */
const PROPAGATION_MS = 1_000;
/** Time after its start from which an entry uses its share of the fleet's retry budget, in milliseconds. */
const RETRY_WARM_UP_MS = 10_500;

describe("a request that crashes every upstream that runs it", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(
        layout: Partial<RoutedFleetOptions> = {},
        route: DraftDocument = {},
    ): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: UPSTREAMS }, () => UPSTREAM);
        const started = new RoutedFleet({ entries: ENTRIES, upstreams, queueHosts: true, ...layout });
        fleet.running = started;
        await started.start(makeDocument({ routes: [makeRoute({ ...ROUTE, ...route })] }));
        return started;
    }

    /** Sends the request repeatedly, each time with a new id and through the next entry. */
    async function repeat(running: RoutedFleet, times: number, pauseMs: number): Promise<TestReply[]> {
        const replies: Promise<TestReply>[] = [];
        for (let round = 0; round < times; round++) {
            replies.push(running.startCall({ entry: round % ENTRIES, path: PATH, key: KEY, body: CRASHING }));
            await running.advance(pauseMs);
        }
        return running.run(Promise.all(replies));
    }

    function listCrashes(running: RoutedFleet): number[] {
        return running.upstreams.flatMap(({ crashes }) => crashes).sort((a, b) => a - b);
    }

    function countSends(running: RoutedFleet): number {
        return running.upstreams.flatMap(({ runs }) => runs).filter(({ body }) => body === CRASHING).length;
    }

    /** Counts how often the request reached an upstream later than `PROPAGATION_MS` after the last permitted crash. */
    function countLateSends(running: RoutedFleet): number {
        const limitReachedAt = listCrashes(running)[MAX_CRASHES - 1] ?? Number.POSITIVE_INFINITY;
        const sends = running.upstreams.flatMap(({ runs }) => runs).filter(({ body }) => body === CRASHING);
        return sends.filter(({ at }) => at > limitReachedAt + PROPAGATION_MS).length;
    }

    afterEach(() => fleet.running?.close());

    it("reaches no upstream once it has crashed three, whichever entry receives it", async () => {
        // A caller's retries have new ids and look like new requests, so they would crash the pool's upstreams one by one.
        const running = await startFleet();
        await repeat(running, 20, 700);
        assert.ok(listCrashes(running).length >= MAX_CRASHES);
        assert.equal(countLateSends(running), 0);
    });

    it("is refused as not run, with a retry time, at entries that never received it", async () => {
        const running = await startFleet();
        await repeat(running, 6, 700);
        await running.run(running.startEntry(ENTRIES));
        await running.advance(3_000);
        const sends = countSends(running);
        const reply = await running.call({ entry: ENTRIES, path: PATH, key: KEY, body: CRASHING });
        assert.equal(reply.status, 503);
        assert.equal(findHeader(reply.headers, CALL_HEADERS.notRun), "1");
        assert.ok(Number(findHeader(reply.headers, "retry-after")) > 3_000);
        assert.ok(reply.tookMs < 50, `${reply.tookMs} ms`);
        assert.equal(countSends(running), sends);
    });

    it("is refused permanently on a route whose calls are retried", async () => {
        // The router's own retries count too: each call of an idempotent route would otherwise crash two upstreams.
        const running = await startFleet({}, { kind: "idempotent", attempts: 2 });
        await running.advance(RETRY_WARM_UP_MS);
        await repeat(running, 12, 700);
        assert.ok(listCrashes(running).length <= MAX_CRASHES + 1, `${listCrashes(running).length} crashes`);
        assert.equal(countLateSends(running), 0);
    });

    it("gets 502 without a not-run header where it is quarantined between two attempts", async () => {
        const running = await startFleet({}, { kind: "idempotent", attempts: 5 });
        await running.advance(RETRY_WARM_UP_MS);
        const reply = await running.call({ entry: 0, path: PATH, key: KEY, body: CRASHING });
        assert.equal(reply.status, 502);
        assert.equal(findHeader(reply.headers, CALL_HEADERS.notRun), undefined);
        assert.equal(listCrashes(running).length, MAX_CRASHES + 1);
    });

    it("does not affect requests that ran concurrently, nor other requests of its caller", async () => {
        const running = await startFleet();
        const others: Promise<TestReply>[] = [];
        for (let round = 0; round < 20; round++) {
            others.push(running.startCall({ entry: round % ENTRIES, path: PATH, key: KEY, body: `sound ${round}` }));
            await repeat(running, 1, 350);
        }
        const replies = await running.run(Promise.all(others));
        assert.equal(replies.filter(({ status }) => status === 503).length, 0);
        const again = await running.call({ entry: 0, path: PATH, key: KEY, body: "sound 0" });
        assert.equal(again.status, 200);
    });

    describe("stays quarantined", () => {
        it("when the holder of the control lease is lost", async () => {
            const running = await startFleet();
            await repeat(running, 6, 700);
            await running.killControl(running.holder());
            await running.advance(5_000);
            const sends = countSends(running);
            await repeat(running, 8, 300);
            assert.equal(countSends(running), sends);
        });

        it("when all processes lose power at once", async () => {
            const running = await startFleet();
            await repeat(running, 6, 700);
            for (let number = 0; number < 5; number++) await running.killControl(number);
            for (let number = 0; number < ENTRIES; number++) await running.killEntry(number);
            for (let number = 0; number < 5; number++) await running.run(running.startControl(number));
            for (let number = 0; number < ENTRIES; number++) await running.run(running.startEntry(number));
            await running.advance(3_000);
            const sends = countSends(running);
            const replies = await repeat(running, 8, 300);
            assert.equal(countSends(running), sends);
            assert.deepEqual(replies.map(({ status }) => status), replies.map(() => 503));
        });
    });

    it("is counted as before where the holder is lost between its crashes", async () => {
        // Otherwise crashes would be known only to one process.
        const running = await startFleet();
        await repeat(running, 2, 700);
        await running.killControl(running.holder());
        await running.advance(3_000);
        await repeat(running, 10, 700);
        assert.equal(countLateSends(running), 0);
        assert.ok(listCrashes(running).length <= MAX_CRASHES + 1, `${listCrashes(running).length} crashes`);
    });

    it("causes no more crashes at an entry that can't reach control, on a route without keys", async () => {
        // Otherwise the entry would continue to send the request while its crash report waits for control.
        const running = await startFleet({}, { keyless: true });
        for (let number = 0; number < 5; number++) await running.killControl(number);
        for (let round = 0; round < 8; round++) {
            await running.call({ entry: 0, path: PATH, body: CRASHING });
            await running.advance(100);
        }
        assert.equal(listCrashes(running).length, MAX_CRASHES);
    });

    it("runs again once an operator has lifted the quarantine", async () => {
        const running = await startFleet();
        await repeat(running, 6, 700);
        const { quarantine } = running.controls[0]!.routing!;
        const [held] = (await running.run(quarantine.read())).unsafeCoerce();
        assert.equal((await running.run(quarantine.lift(held.fingerprint))).isRight(), true);
        await running.advance(100);
        const sends = countSends(running);
        await repeat(running, 1, 100);
        assert.equal(countSends(running), sends + 1);
    });
});

describe("a request whose connections end", () => {
    it("is not quarantined while the upstreams that end them go on listening", async () => {
        // Otherwise connection faults and lost answers would count as crashes.
        const upstreams = Array.from({ length: UPSTREAMS }, () => ({ slots: 24, workMs: 20 }));
        const running = new RoutedFleet({ entries: ENTRIES, upstreams, queueHosts: true });
        await running.start(makeDocument(PARTS));
        for (const upstream of running.upstreams) upstream.faults.push("lost", "lost");
        for (let round = 0; round < 6; round++) {
            const reply = await running.call({ entry: round % ENTRIES, path: PATH, key: KEY, body: CRASHING });
            assert.equal(reply.status, 502);
            await running.advance(500);
        }
        for (const upstream of running.upstreams) upstream.faults.length = 0;
        assert.equal((await running.call({ entry: 0, path: PATH, key: KEY, body: CRASHING })).status, 200);
        await running.close();
    });

    it("is not quarantined where it was served recently, though it ran on three upstreams that crashed", async () => {
        // Otherwise a popular request would be quarantined, since it is running whenever upstreams crash.
        const upstreams = Array.from({ length: 4 }, () => ({ slots: 24, workMs: 400, restartMs: 500 }));
        const running = new RoutedFleet({ entries: ENTRIES, upstreams, queueHosts: true });
        await running.start(makeDocument(PARTS));
        const popular = (entry: number) => running.startCall({ entry, path: PATH, key: KEY, body: "popular" });
        await running.run(Promise.all([0, 1, 2, 3].map(popular)));
        const broken = Array.from({ length: 16 }, (_, number) => popular(number % ENTRIES));
        await running.advance(200);
        for (const upstream of running.upstreams.slice(0, 3)) await upstream.crash();
        await running.run(Promise.all(broken));
        await running.advance(1_000);
        assert.equal((await running.call({ entry: 0, path: PATH, key: KEY, body: "popular" })).status, 200);
        await running.close();
    });
});
