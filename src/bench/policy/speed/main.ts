/** Measures the time of dispatch decisions at several sizes: `npm run bench:speed`. */
import { LocalDispatcher, Ticket } from "../../../dispatch/index.js";
import { ClassName, HostId, PoolId, RequestId, UpstreamId, WorkspaceId, ZoneId } from "../../../ids/index.js";
import { SeededRandom, SystemClock, VirtualClock } from "../../../ports/index.js";
import {
    FirstTokenPolicy,
    makeAnnouncement,
    pickExhaustively,
    SelectionRequest,
    Upstream,
    UpstreamLoad,
    UpstreamRegistry,
} from "../../../upstream/index.js";

const SLOTS = 8;
const DECISION_COUNT = 20_000;
const WARM_UP_DECISIONS = 2_000;
const DISPATCHER_SIZES = [
    { upstreams: 12, workspaces: 10, waiting: 50 },
    { upstreams: 12, workspaces: 40_000, waiting: 50 },
    { upstreams: 200, workspaces: 1_000, waiting: 200 },
    { upstreams: 200, workspaces: 40_000, waiting: 2_000 },
    { upstreams: 1_800, workspaces: 40_000, waiting: 50 },
    { upstreams: 1_800, workspaces: 40_000, waiting: 2_000 },
];

type DispatcherSize = typeof DISPATCHER_SIZES[number];

/** Engines of a pool that uses `FirstTokenPolicy`, and streams that run on each of them. */
const ROUTED_SIZES = [{ engines: 60, streams: 20 }, { engines: 200, streams: 20 }];
const ROUTED_CHOICE_COUNT = 3_000;

const systemClock = new SystemClock();
for (const size of DISPATCHER_SIZES) console.log(await measureDispatcher(size));
for (const size of ROUTED_SIZES) console.log(measureRoutedChoice(size));

/** Compares the time of one choice among engines with that of a choice that evaluates every engine in full. */
function measureRoutedChoice({ engines, streams }: typeof ROUTED_SIZES[number]): string {
    const chosenMs = timeRoutedChoice(new FirstTokenPolicy(() => undefined), engines, streams);
    const exhaustive = new FirstTokenPolicy(() => undefined, undefined, pickExhaustively);
    const exhaustiveMs = timeRoutedChoice(exhaustive, engines, streams);
    return `${engines} engines with ${streams} streams each: choice ${
        formatMicroseconds(chosenMs)
    }, all weighed in full `
        + `${formatMicroseconds(exhaustiveMs)}, ${(exhaustiveMs / chosenMs).toFixed(1)} times as much`;
}

function timeRoutedChoice(policy: FirstTokenPolicy, engines: number, streams: number): number {
    const random = new SeededRandom(1);
    const loads = Array.from(
        { length: engines },
        (_, index) => new UpstreamLoad(new Upstream(makeAnnouncement({ id: `u${index}`, slots: 128 }), 0, true)),
    );
    const running: RequestId[] = [];
    const chooseRepeatedly = (count: number): void => {
        for (let index = 0; index < count; index++) {
            const now = nextNumber * 3;
            const parts = [{ id: `s${random.integer(0, 40)}`, tokens: 6_000 }, { id: `o${nextNumber}`, tokens: 1_000 }];
            const request: SelectionRequest = {
                request: `r${nextNumber++}` as RequestId,
                pool: "draft" as PoolId,
                tier: 0,
                prefixes: [],
                parts,
                findSource: undefined,
                gapMs: nextNumber % 3 === 0 ? 250 : 1_000,
                eventTokens: 4,
                targetMs: 500,
                bodyBytes: 4_000,
                now,
                ageMs: 0,
                promptTokens: 7_000,
                predictedTokens: 100,
                zone: `z${nextNumber % 6}` as ZoneId,
            };
            const chosen = policy.choose(loads, request);
            policy.granted(chosen, request);
            chosen.load.markSent(now);
            policy.progressed(request.request, true, now + 60);
            running.push(request.request);
            if (running.length > engines * streams) policy.ended(running.shift()!, false, now, 200);
        }
    };
    let nextNumber = 0;
    chooseRepeatedly(engines * streams + ROUTED_CHOICE_COUNT);
    const startedAt = systemClock.monotonic();
    chooseRepeatedly(ROUTED_CHOICE_COUNT);
    return (systemClock.monotonic() - startedAt) / ROUTED_CHOICE_COUNT;
}

async function measureDispatcher(size: DispatcherSize): Promise<string> {
    const clock = new VirtualClock();
    const registry = new UpstreamRegistry({ clock });
    announceAll(registry, size.upstreams, 1);
    const random = new SeededRandom(1);
    const granted: [RequestId, UpstreamId][] = [];
    const dispatcher = new LocalDispatcher({ clock, random, registry, zone: "z0" as ZoneId });
    let nextNumber = 0;
    const submit = (): void => {
        const ticket = makeTicket(nextNumber++, size.workspaces);
        const decision = dispatcher.submit(ticket, new AbortController().signal);
        void decision.then(settled => settled.ifRight(grant => granted.push([grant.request, grant.upstream])));
    };
    const completeAndSubmit = (): void => {
        submit();
        const [request, upstream] = granted.shift()!;
        const usage = { promptTokens: 500, cachedTokens: 0, completionTokens: 100 };
        dispatcher.complete({ request, upstream, outcome: "answered", firstTokenMs: 100, tokenMs: 30, ...usage });
    };
    for (let index = 0; index < size.upstreams * SLOTS + size.waiting; index++) submit();
    await clock.advance(0);
    const tookMs = await timeDecisions(clock, completeAndSubmit);
    const tickMs = await timeTick(clock);
    const announceMs = timeAnnouncement(registry, size.upstreams);
    dispatcher.close();
    return `${size.upstreams} upstreams, ${size.workspaces} workspaces, ${size.waiting} waiting: `
        + `decision ${formatMicroseconds(tookMs / DECISION_COUNT)}, tick ${formatMicroseconds(tickMs)}, announcement ${
            formatMicroseconds(announceMs)
        }`;
}

async function timeDecisions(clock: VirtualClock, completeAndSubmit: () => void): Promise<number> {
    let startedAt = systemClock.monotonic();
    for (let index = 0; index < WARM_UP_DECISIONS + DECISION_COUNT; index++) {
        if (index === WARM_UP_DECISIONS) startedAt = systemClock.monotonic();
        completeAndSubmit();
        // p-queue starts the next task in a later microtask.
        if (index % 32 === 0) await clock.advance(0);
    }
    return systemClock.monotonic() - startedAt;
}

async function timeTick(clock: VirtualClock): Promise<number> {
    const TICK_COUNT = 20;
    const startedAt = systemClock.monotonic();
    await clock.advance(25 * TICK_COUNT);
    return (systemClock.monotonic() - startedAt) / TICK_COUNT;
}

function timeAnnouncement(registry: UpstreamRegistry, upstreams: number): number {
    const ROUNDS = 5;
    const startedAt = systemClock.monotonic();
    for (let round = 0; round < ROUNDS; round++) announceAll(registry, upstreams, 2 + round);
    return (systemClock.monotonic() - startedAt) / ROUNDS / upstreams;
}

function announceAll(registry: UpstreamRegistry, upstreams: number, sequence: number): void {
    for (let index = 0; index < upstreams; index++) {
        const load = { running: 0, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 };
        registry.announce(makeAnnouncement({ id: `u${index}`, zone: `z${index % 14}`, slots: SLOTS, sequence, load }));
    }
}

function makeTicket(index: number, workspaces: number): Ticket {
    const workspace = `w${index * 7_919 % workspaces}`;
    return {
        request: `r${index}` as RequestId,
        origin: "h1" as HostId,
        workspace: workspace as WorkspaceId,
        className: "sheets" as ClassName,
        tier: index % 7,
        weight: 1 + index % 3,
        pool: "draft" as PoolId,
        promptTokens: 500,
        maxTokens: 400,
        firstTokenMs: 3_600_000,
        tokenMs: 60,
        maxWaitMs: 3_600_000,
        guaranteedShare: 0,
        ageMs: 0,
        prefixes: [`${workspace}/a`, `${workspace}/a/${index % 5}`],
        resumable: false,
        repeatable: true,
        avoid: [],
        resumeOffset: 0,
    };
}

function formatMicroseconds(ms: number): string {
    return `${(1_000 * ms).toFixed(1)} µs`;
}
