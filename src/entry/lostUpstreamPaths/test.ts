import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RoutedFleet } from "../../faultInjection/index.js";
import { PathLoss } from "../../ports/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
/** Time after its start in which an entry repeats few calls, in milliseconds. */
const BUDGET_WINDOW_MS = 10_000;
/** Time after the loss from which the rule counts, and time for which the loss lasts, in milliseconds. */
const CONTACT_MS = 3_000;
const LOSS_MS = 9_000;
const CALLS_PER_S = 28;
/** The rule: hosts without paths serve this share of what the others serve, or at most so many calls fail, and one in so many. */
const MIN_SERVED_SHARE = 2 / 3;
const MAX_FAILED = 10;
const CALLS_PER_FURTHER_FAILURE = 50;

const LOSSES: readonly PathLoss[] = ["silent", "reset", "refuse"];
const CALL_KINDS: Readonly<Record<string, DraftDocument>> = {
    "calls that must not be repeated": { kind: "once", timeoutMs: 2_000, targetMs: 400 },
    "repeatable calls": { kind: "idempotent", attempts: 2, timeoutMs: 2_000, targetMs: 400 },
    "streams": { kind: "stream", timeoutMs: 4_000, targetMs: 600, gapMs: 400 },
};
const CUT_HOSTS: Readonly<Record<string, readonly number[]>> = {
    "one host": [2],
    "most of a zone": [0, 1, 3, 5],
    "a whole zone": [0, 1, 2],
};

/** A first try of a caller. */
interface FirstTry {
    readonly entry: number;
    readonly isServed: boolean;
}

describe("hosts that lose their paths to all upstreams", () => {
    async function startFleet(route: DraftDocument): Promise<RoutedFleet> {
        const events = route.kind === "stream" ? 10 : 0;
        const upstreams = Array.from({ length: 6 }, () => ({ slots: 12, workMs: 80, gapMs: 30, events }));
        const entryZones = ["sohar", "sohar", "sohar", "barka", "barka", "muscat", "muscat"];
        const started = new RoutedFleet({ entries: 7, entryZones, upstreams, queueHosts: true });
        await started.start(makeDocument({ routes: [makeRoute(route)] }));
        await started.advance(BUDGET_WINDOW_MS);
        return started;
    }

    async function sendFirstTry(running: RoutedFleet, entry: number, path: string): Promise<FirstTry> {
        const { status, isWhole } = await running.startCall({ entry, path, key: KEY });
        return { entry, isServed: status === 200 && isWhole };
    }

    /** Sends calls to all entries in turn, each once. */
    async function sendFirstTries(running: RoutedFleet, ms: number, name: string): Promise<Promise<FirstTry>[]> {
        const tries: Promise<FirstTry>[] = [];
        for (let call = 0; call < ms * CALLS_PER_S / 1_000; call++) {
            const entry = call % running.entries.length;
            tries.push(sendFirstTry(running, entry, `/orders/${name}-${call}`));
            await running.advance(1_000 / CALLS_PER_S);
        }
        return tries;
    }

    /** Returns how the rule is broken; undefined where it holds. */
    function findBreach(tries: readonly FirstTry[], cut: readonly number[]): string | undefined {
        const countServed = (some: readonly FirstTry[]): number => some.filter(({ isServed }) => isServed).length;
        const there = tries.filter(({ entry }) => cut.includes(entry));
        const others = tries.filter(({ entry }) => !cut.includes(entry));
        const failed = tries.length - countServed(tries);
        const share = (countServed(there) / there.length) / (countServed(others) / others.length);
        const isServed = share >= MIN_SERVED_SHARE || failed <= MAX_FAILED + tries.length / CALLS_PER_FURTHER_FAILURE;
        if (isServed && countServed(others) >= MIN_SERVED_SHARE * others.length) return undefined;
        return `${countServed(there)} of ${there.length}, others ${countServed(others)} of ${others.length}`;
    }

    /** Has hosts lose their paths and get them back, under calls of one kind; returns how the rule is broken meanwhile and after. */
    async function loseAndRestore(route: DraftDocument, cut: readonly number[], loss: PathLoss): Promise<string[]> {
        const running = await startFleet(route);
        const before = await sendFirstTries(running, 2_000, "before");
        for (const entry of cut) running.loseUpstreamPaths(entry, loss);
        const early = await sendFirstTries(running, CONTACT_MS, "early");
        const during = await sendFirstTries(running, LOSS_MS - CONTACT_MS, "during");
        for (const entry of cut) running.restoreUpstreamPaths(entry);
        const after = await sendFirstTries(running, 4_000, "after");
        await running.run(Promise.all([...before, ...early]));
        const breaches = [
            ["during", findBreach(await running.run(Promise.all(during)), cut)],
            ["after", findBreach(await running.run(Promise.all(after)), cut)],
        ];
        if (route.kind !== "idempotent") checkRunOnce(running);
        await running.close();
        return breaches.filter(([, breach]) => breach !== undefined).map(([when, breach]) => `${when}: ${breach}`);
    }

    function checkRunOnce(running: RoutedFleet): void {
        const runs = running.upstreams.flatMap(upstream => upstream.runs.map(({ request }) => request));
        assert.equal(new Set(runs).size, runs.length, "a call ran twice");
    }

    for (const loss of LOSSES) {
        it(`serve first tries as the other hosts do, where connections are lost like this: ${loss}`, async () => {
            // A host that knows no other way than its own paths answers each call with 503.
            const breaches: string[] = [];
            for (const [hosts, cut] of Object.entries(CUT_HOSTS)) {
                for (const [calls, route] of Object.entries(CALL_KINDS)) {
                    const found = await loseAndRestore(route, cut, loss);
                    breaches.push(...found.map(breach => `${hosts}, ${calls}, ${breach}`));
                }
            }
            assert.deepEqual(breaches, []);
        });
    }
});
