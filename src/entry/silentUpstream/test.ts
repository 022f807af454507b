import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RecordingLogger, RoutedFleet, sendCalls } from "../../faultInjection/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const SILENCE_MS = 1_300;
const STREAM: DraftDocument = { kind: "stream", resumable: true, attempts: 2, timeoutMs: 6_000 };
/** Log lines of decisions against an upstream or a path. */
const VERDICTS = ["upstream-rested", "path-lost", "upstream-probed", "request-quarantined"];

describe("a sound upstream that is silent for a second or so", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };
    const logger = new RecordingLogger();

    async function startFleet(route: DraftDocument, events: number): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: 3 }, () => ({ slots: 24, workMs: 60, events, gapMs: 40 }));
        const started = new RoutedFleet({ entries: 3, upstreams, queueHosts: true, logger });
        fleet.running = started;
        await started.start(makeDocument({ routes: [makeRoute(route)] }));
        await started.advance(10_000);
        return started;
    }

    function countRuns(running: RoutedFleet): number {
        return running.upstreams.reduce((sum, { runs }) => sum + runs.length, 0);
    }

    afterEach(() => fleet.running?.close());

    it("keeps its streams, and gets no verdict", async () => {
        // Its streams would be read in again elsewhere, and their callers would wait longer than for the silence.
        const running = await startFleet({ ...STREAM, targetMs: 400, gapMs: 100 }, 40);
        const early = await sendCalls(running, { seconds: 1, key: KEY });
        running.upstreams[0].fallSilent(SILENCE_MS);
        const late = await sendCalls(running, { seconds: 4, key: KEY });
        const replies = await running.run(Promise.all([...early, ...late]));
        assert.deepEqual(replies.filter(({ status, isWhole }) => status !== 200 || !isWhole), []);
        assert.equal(countRuns(running), replies.length);
        for (const event of VERDICTS) assert.deepEqual(logger.list(event), [], event);
    });

    it("keeps the streams that have not begun yet", async () => {
        const running = await startFleet({ ...STREAM, targetMs: 400, gapMs: 100 }, 5);
        for (const upstream of running.upstreams) upstream.fallSilent(SILENCE_MS);
        const replies = await running.run(Promise.all(await sendCalls(running, { seconds: 1, key: KEY })));
        assert.deepEqual(replies.filter(({ status, isWhole }) => status !== 200 || !isWhole), []);
        assert.equal(countRuns(running), replies.length);
        for (const event of VERDICTS) assert.deepEqual(logger.list(event), [], event);
    });
});
