import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Arrival } from "../../emulator/index.js";
import { checkRepeats, RepeatLoad, RoutedFleet } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { RepeatBudget, RepeatPermit } from "../../passthrough/index.js";
import { SeededRandom, VirtualClock } from "../../ports/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const UPSTREAMS = 8;
const WARM_UP_MS = 22_000;

interface LoadOptions {
    readonly seed: number;
    readonly entries: number;
    readonly slack: number;
    readonly callsPerS: number;
    readonly workMs: number;
    readonly route: Parameters<typeof makeRoute>[0];
}

/** Starts a fleet under load, long enough that all entries have their whole share of the limits. */
async function startLoad({ seed, entries, slack, callsPerS, workMs, route }: LoadOptions) {
    const upstreams = Array.from({ length: UPSTREAMS }, () => ({ slots: 16, workMs }));
    const repeats = { ratio: 0.2, windowMs: 10_000, slack };
    const fleet = new RoutedFleet({ seed, controls: 3, entries, upstreams, queueHosts: true, repeats });
    await fleet.start(makeDocument({ routes: [makeRoute(route)] }));
    const load = new RepeatLoad({ fleet, random: new SeededRandom(seed), callsPerS });
    await load.sendFor(WARM_UP_MS);
    return { fleet, load };
}

async function assertWithinLimits(fleet: RoutedFleet, load: RepeatLoad): Promise<void> {
    const { repeats, allowed } = load.findWorst();
    await fleet.close();
    assert.ok(repeats <= allowed, `${repeats} retries of ${allowed} allowed`);
}

/** A part of a random run over several budgets, in which one entry gets all requests. */
interface BudgetPhase {
    readonly entry: number;
    readonly seconds: number;
    /** What becomes of the requests: all succeed, all fail and are repeated at once, or they are repeated at the end of the phase. */
    readonly outcome: "success" | "failure" | "late-failure";
    /** Number of an entry that restarts before it, if there is one of that number. */
    readonly restarted: number;
}

const BUDGETS = 4;
const REQUESTS_PER_S = 20;
const LIMITS = { ratio: 0.2, windowMs: 10_000, slack: 4 };
const POOL = "ledger" as PoolId;

const PHASES: fc.Arbitrary<BudgetPhase[]> = fc.array(
    fc.record({
        entry: fc.nat(BUDGETS - 1),
        seconds: fc.integer({ min: 1, max: 12 }),
        outcome: fc.constantFrom("success" as const, "failure" as const, "late-failure" as const),
        restarted: fc.nat(2 * BUDGETS),
    }),
    { minLength: 4, maxLength: 12 },
);

/** Runs phases over the budgets of several entries, and checks what arrives at their pool together. */
async function checkSum(phases: readonly BudgetPhase[]): Promise<void> {
    const clock = new VirtualClock();
    const budgets = Array.from({ length: BUDGETS }, () => new RepeatBudget(clock, LIMITS, () => BUDGETS));
    const arrivals: Pick<Arrival, "request" | "at">[] = [{ request: "call", at: 0 }];
    const sentAt: number[] = [];
    await clock.advance(LIMITS.windowMs);
    for (const { entry, seconds, outcome, restarted } of phases) {
        if (restarted < BUDGETS) budgets[restarted] = new RepeatBudget(clock, LIMITS, () => BUDGETS);
        const permits: RepeatPermit[] = [];
        const sendAll = (): void => {
            const sent = permits.splice(0).filter(permit => permit.tryUse());
            arrivals.push(...sent.map(() => ({ request: "call", at: clock.monotonic() })));
        };
        for (let i = 0; i < seconds * REQUESTS_PER_S; i++) {
            budgets[entry].recordRequest(POOL);
            sentAt.push(clock.monotonic());
            if (outcome !== "success") permits.push(...reserveAll(budgets[entry]));
            if (outcome === "failure") sendAll();
            await clock.advance(1_000 / REQUESTS_PER_S);
        }
        sendAll();
    }
    checkRepeats(arrivals, sentAt, LIMITS);
}

function reserveAll(budget: RepeatBudget): RepeatPermit[] {
    const permits: RepeatPermit[] = [];
    for (let permit = budget.tryReserve(POOL); permit; permit = budget.tryReserve(POOL)) {
        permits.push(permit);
    }
    return permits;
}

describe("limits on retries of a pool", () => {
    it("hold for the sum over entries that restart, wait and get the callers of others", async () => {
        // Failure: what each host counts by itself adds up to more than the limit of the fleet.
        await fc.assert(fc.asyncProperty(PHASES, checkSum), { numRuns: 300, seed: 1 });
    });

    describe("hosts that vanish after a failure of all upstreams", () => {
        for (const slack of [30, 60]) {
            it(`leave no more of a slack of ${slack} to the others than before`, async () => {
                // Failure: the entries that are left share the slack out anew while the retries of the others are still in the window.
                const route = { kind: "once", timeoutMs: 2_000 };
                const { fleet, load } = await startLoad({
                    seed: 1,
                    entries: 12,
                    slack,
                    callsPerS: 12,
                    workMs: 40,
                    route,
                });
                load.setFault("refuse");
                await load.sendFor(2_000);
                load.setFault(undefined);
                for (let number = 0; number < 8; number++) await fleet.killEntry(number);
                await load.sendFor(4_800);
                load.setFault("refuse");
                await load.sendFor(2_500);
                await assertWithinLimits(fleet, load);
            });
        }
    });

    describe("hosts that vanish during a failure of all upstreams", () => {
        it("leave no second share of the limit to those that their callers come to", async () => {
            // Failure: two thirds of the hosts are lost after their retries, and those left earn a share by the same callers' next requests.
            const route = { kind: "once", timeoutMs: 4_000, targetMs: 1_500 };
            const size = { entries: 24, slack: 62, callsPerS: 112, workMs: 300 };
            const { fleet, load } = await startLoad({ seed: 1, ...size, route });
            load.setFault("refuse");
            await load.sendFor(2_500);
            const killed = Array.from({ length: 16 }, (_, number) => fleet.killEntry(number));
            await fleet.run(Promise.all(killed));
            await load.sendFor(5_000);
            await assertWithinLimits(fleet, load);
        });
    });

    describe("retries that wait for a slot", () => {
        it("count when they are sent", async () => {
            // Failure: retries that wait leave the window too early, so that those of two bursts arrive within one window.
            const upstreams = [{ slots: 12, workMs: 5_000 }, { slots: 16, workMs: 5_000 }];
            const repeats = { ratio: 0.2, windowMs: 10_000, slack: 10 };
            const fleet = new RoutedFleet({ controls: 3, entries: 1, upstreams, queueHosts: true, repeats });
            const route = makeRoute({ kind: "idempotent", attempts: 3, timeoutMs: 15_000, targetMs: 10_000 });
            await fleet.start(makeDocument({ routes: [route] }));
            const load = new RepeatLoad({ fleet, random: new SeededRandom(1), callsPerS: 1 });
            await fleet.advance(12_000);
            load.sendAtOnce(28);
            await fleet.advance(1_000);
            await fleet.run(fleet.upstreams[0].crash());
            await fleet.advance(10_200);
            load.setFault("refuse", [1]);
            load.sendAtOnce(12);
            await fleet.advance(3_000);
            await assertWithinLimits(fleet, load);
        });
    });

    describe("callers that move to other hosts during a failure of all upstreams", () => {
        it("bring no second share of the limit with them", async () => {
            // Failure: the hosts that callers leave have used their share of a window, and those that they come to earn one again within it.
            const route = { kind: "once", timeoutMs: 2_000 };
            const { fleet, load } = await startLoad({
                seed: 1,
                entries: 6,
                slack: 15,
                callsPerS: 100,
                workMs: 20,
                route,
            });
            await load.sendFor(10_000, { isChosen: entry => entry < 3 });
            load.setFault("refuse");
            await load.sendFor(2_000, { isChosen: entry => entry < 3 });
            await load.sendFor(7_500, { isChosen: entry => entry >= 3 });
            await assertWithinLimits(fleet, load);
        });
    });
});
