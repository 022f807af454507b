import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { callStream, listSoftware, RoutedFleet, StreamOutcome, StreamTry } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const POOL = "ledger" as PoolId;
const ENTRIES = [0, 1, 2, 3];
const CONTROLS = [0, 1, 2, 3, 4];
/** Time after its start in which an entry repeats few calls, in milliseconds. */
const BUDGET_WINDOW_MS = 10_000;
const STREAM: DraftDocument = {
    kind: "stream",
    resumable: true,
    attempts: 3,
    timeoutMs: 12_000,
    targetMs: 400,
    gapMs: 200,
};
const STREAMS_PER_S = 60;
const MAX_TRIES = 5;
const RETRY_PAUSE_MS = 60;
/** The goal for the share of streams that go on, of those taken up again, against that of new streams that begin. */
const MIN_RESUMED_SHARE = 0.95;

/** Something that happens to a fleet in the middle of streams. */
type Fault = (running: RoutedFleet) => Promise<void> | void;

/** What callers got while something happened. */
interface PlayResult {
    readonly outcomes: readonly StreamOutcome[];
    /** What each stream that holds several versions got, and where. */
    readonly mixed: readonly string[];
}

describe("streams of a pool whose upstreams run several software versions", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(route: DraftDocument = {}): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: 8 }, (_, number) => ({
            slots: 24,
            workMs: 60,
            events: 30,
            gapMs: 40,
            restartMs: 3_000,
            software: number % 2 === 0 ? "1.0" : "2.0",
            zone: number < 4 ? "vogar" : "keflavik",
        }));
        const zones = ["vogar", "keflavik"];
        const running = new RoutedFleet({ entries: ENTRIES.length, upstreams, queueHosts: true, zones });
        fleet.running = running;
        await running.start(makeDocument({ routes: [makeRoute({ ...STREAM, ...route })] }));
        await running.advance(BUDGET_WINDOW_MS);
        return running;
    }

    /** Sends streams at a constant rate, has something happen in their middle, and waits for their ends. */
    async function play(
        route: DraftDocument,
        fault: Fault,
        entryOf: (first: number, attempt: number) => number = first => first,
    ): Promise<PlayResult> {
        const running = await startFleet(route);
        const streams: Promise<StreamOutcome>[] = [];
        const send = async (count: number): Promise<void> => {
            for (let sent = 0; sent < count; sent++) {
                const number = streams.length;
                const first = number % ENTRIES.length;
                streams.push(callStream(running, {
                    request: `stream-${number}`,
                    path: `/orders/${number}`,
                    key: KEY,
                    entryOf: attempt => entryOf(first, attempt),
                    maxTries: MAX_TRIES,
                    pauseMs: RETRY_PAUSE_MS,
                }));
                await running.advance(1_000 / STREAMS_PER_S);
            }
        };
        await send(2 * STREAMS_PER_S);
        await fault(running);
        await send(2 * STREAMS_PER_S);
        const outcomes = await running.run(Promise.all(streams), 120_000);
        await running.close();
        fleet.running = undefined;
        const mixed = outcomes.filter(outcome => listSoftware(outcome).length > 1);
        return { outcomes, mixed: mixed.map(describeStream) };
    }

    function describeStream({ tries }: StreamOutcome): string {
        return tries.map(({ request, entry, events }) => {
            const parts = [...new Set(events.map(({ software }) => software))].join(" and ");
            return `${request} at entry ${entry}: ${events.length} events of ${parts || "nothing"}`;
        }).join("; ");
    }

    /** Returns the share of streams that go on, of those taken up again, against that of new streams that begin. */
    function findResumedShare(outcomes: readonly StreamOutcome[]): number {
        const resumed = outcomes.filter(({ tries }) => tries.some(({ isResumption }) => isResumption));
        assert.ok(resumed.length >= 12, `only ${resumed.length} streams were taken up again`);
        const continued = resumed.filter(({ tries }) => listEvents(tries, true) > 0);
        const begun = outcomes.filter(({ tries }) => listEvents(tries, false) > 0);
        return (continued.length / resumed.length) / (begun.length / outcomes.length);
    }

    function listEvents(tries: readonly StreamTry[], isResumption: boolean): number {
        return tries.filter(each => each.isResumption === isResumption).flatMap(({ events }) => events).length;
    }

    /** Crashes two upstreams of each version. */
    function crashHalf({ upstreams }: RoutedFleet): void {
        for (const number of [0, 1, 4, 5]) void upstreams[number].crash();
    }

    const WITHIN_ONE_ANSWER: Readonly<Record<string, Fault>> = {
        "a crash": crashHalf,
        "a reset": ({ upstreams }) => {
            for (const { faults } of upstreams) faults.push("break", "break");
        },
        "a stall": ({ upstreams }) => {
            for (const number of [0, 1, 4, 5]) upstreams[number].fallSilent(4_000);
        },
        "a departure": async running => {
            for (const number of [0, 1, 4]) await running.retireUpstream(number, 300);
        },
        "an evacuation": async running => {
            await running.submitZoneOrder("zone.evacuate", "keflavik");
            for (const number of [4, 5, 6, 7]) void running.upstreams[number].crash();
        },
    };

    const OVER_TRIES: Readonly<Record<string, [Fault, ((first: number, attempt: number) => number)?]>> = {
        "at the same host": [crashHalf],
        "at another host": [crashHalf, (first, attempt) => (first + attempt) % ENTRIES.length],
        "after the first host was killed": [
            running => void running.killEntry(0),
            (first, attempt) => attempt === 0 ? first : 1 + (first + attempt) % 3,
        ],
        "after the first host and the queue's owner were killed": [
            running => {
                void running.killControl(running.queueOwner(POOL));
                void running.killEntry(0);
            },
            (first, attempt) => attempt === 0 ? first : 1 + (first + attempt) % 3,
        ],
        "by way of a relay": [
            running => {
                running.loseUpstreamPaths(1, "silent");
                void running.killEntry(0);
            },
            (first, attempt) => attempt === 0 ? first : 1,
        ],
        "after all hosts lost power": [
            async running => {
                for (const number of ENTRIES) void running.killEntry(number);
                for (const number of CONTROLS) void running.killControl(number);
                await running.advance(1_000);
                await running.run(Promise.all(CONTROLS.map(number => running.startControl(number))));
                await running.run(Promise.all(ENTRIES.map(number => running.startEntry(number))));
                await running.advance(3_000);
            },
            (first, attempt) => (first + attempt) % ENTRIES.length,
        ],
    };

    const played = new Map<string, Promise<PlayResult>>();

    /** Plays one of the ways in which callers come back, once for all tests. */
    function playTries(way: string): Promise<PlayResult> {
        const [fault, entryOf] = OVER_TRIES[way];
        const result = played.get(way) ?? play({ attempts: 1 }, fault, entryOf);
        played.set(way, result);
        return result;
    }

    afterEach(() => fleet.running?.close());

    it("hold events of one version in one answer, however an upstream ends", async () => {
        // A stream that breaks off would go on at an upstream of another version, whose events don't fit.
        const found: string[] = [];
        for (const [way, fault] of Object.entries(WITHIN_ONE_ANSWER)) {
            const { mixed } = await play({}, fault);
            found.push(...mixed.map(stream => `${way}: ${stream}`));
        }
        assert.deepEqual(found, []);
    });

    it("hold events of one version over a caller's tries, whatever is lost meanwhile", async () => {
        // A caller that takes its stream up again would get the rest from an upstream of another version.
        const found: string[] = [];
        for (const way of Object.keys(OVER_TRIES)) {
            const { mixed } = await playTries(way);
            found.push(...mixed.map(stream => `${way}: ${stream}`));
        }
        assert.deepEqual(found, []);
    });

    it("go on as often as new ones begin, where their callers take them up again", async () => {
        // Refusing to go on keeps versions apart, and loses streams whose version still serves.
        const found: string[] = [];
        for (const way of Object.keys(OVER_TRIES)) {
            const { outcomes, mixed } = await playTries(way);
            const pure = outcomes.filter(outcome => !mixed.includes(describeStream(outcome)));
            const share = findResumedShare(outcomes) * pure.length / outcomes.length;
            if (share < MIN_RESUMED_SHARE) found.push(`${way}: ${share.toFixed(2)}`);
        }
        assert.deepEqual(found, []);
    });
});
