/** Measures what one decision costs at several sizes: `npm run bench:speed`. */
import { LocalDispatcher, Ticket } from "../../../dispatch/index.js";
import { ClassName, HostId, PoolId, RequestId, UpstreamId, WorkspaceId, ZoneId } from "../../../ids/index.js";
import { SeededRandom, SystemClock, VirtualClock } from "../../../ports/index.js";
import {
    ChoiceRequest,
    makeAnnouncement,
    pickExhaustively,
    RoutedChoice,
    Upstream,
    UpstreamLoad,
    UpstreamRegistry,
} from "../../../upstream/index.js";

const SLOTS = 8;
const DECISIONS = 20_000;
const WARM_UP = 2_000;
const SIZES = [
    { upstreams: 12, workspaces: 10, waiting: 50 },
    { upstreams: 12, workspaces: 40_000, waiting: 50 },
    { upstreams: 200, workspaces: 1_000, waiting: 200 },
    { upstreams: 200, workspaces: 40_000, waiting: 2_000 },
    { upstreams: 1_800, workspaces: 40_000, waiting: 50 },
    { upstreams: 1_800, workspaces: 40_000, waiting: 2_000 },
];

type Size = typeof SIZES[number];

/** Engines of a routed pool, and streams that run on each. */
const ROUTED_SIZES = [{ engines: 60, streams: 20 }, { engines: 200, streams: 20 }];
const ROUTED_CHOICES = 3_000;

const wall = new SystemClock();
for (const size of SIZES) console.log(await measure(size));
for (const size of ROUTED_SIZES) console.log(measureRouted(size));

/** What one choice among engines costs, beside one that weighs each of them in full. */
function measureRouted({ engines, streams }: typeof ROUTED_SIZES[number]): string {
    const chosenMs = timeRouted(new RoutedChoice(() => undefined), engines, streams);
    const exhaustive = new RoutedChoice(() => undefined, undefined, pickExhaustively);
    const exhaustiveMs = timeRouted(exhaustive, engines, streams);
    return `${engines} engines with ${streams} streams each: choice ${toMicro(chosenMs)}, all weighed in full `
        + `${toMicro(exhaustiveMs)}, ${(exhaustiveMs / chosenMs).toFixed(1)} times as much`;
}

function timeRouted(choice: RoutedChoice, engines: number, streams: number): number {
    const random = new SeededRandom(1);
    const loads = Array.from(
        { length: engines },
        (_, index) => new UpstreamLoad(new Upstream(makeAnnouncement({ id: `u${index}`, slots: 128 }), 0, true)),
    );
    const running: RequestId[] = [];
    const run = (count: number): void => {
        for (let index = 0; index < count; index++) {
            const now = next * 3;
            const parts = [{ id: `s${random.integer(0, 40)}`, tokens: 6_000 }, { id: `o${next}`, tokens: 1_000 }];
            const request: ChoiceRequest = {
                request: `r${next++}` as RequestId,
                pool: "draft" as PoolId,
                prefixes: [],
                parts,
                findSource: undefined,
                gapMs: next % 3 === 0 ? 250 : 1_000,
                eventTokens: 4,
                targetMs: 500,
                bodyBytes: 4_000,
                now,
                promptTokens: 7_000,
                predictedTokens: 100,
                zone: `z${next % 6}` as ZoneId,
            };
            const choiceMade = choice.choose(loads, request);
            choice.granted(choiceMade, request);
            choiceMade.load.markSent(now);
            choice.progressed(request.request, true, now + 60);
            running.push(request.request);
            if (running.length > engines * streams) choice.ended(running.shift()!, false, now, 200);
        }
    };
    let next = 0;
    run(engines * streams + ROUTED_CHOICES);
    const from = wall.monotonic();
    run(ROUTED_CHOICES);
    return (wall.monotonic() - from) / ROUTED_CHOICES;
}

async function measure(size: Size): Promise<string> {
    const clock = new VirtualClock();
    const registry = new UpstreamRegistry({ clock });
    announceAll(registry, size.upstreams, 1);
    const random = new SeededRandom(1);
    const granted: [RequestId, UpstreamId][] = [];
    const dispatcher = new LocalDispatcher({ clock, random, registry, zone: "z0" as ZoneId });
    let next = 0;
    const submit = (): void => {
        const ticket = makeTicket(next++, size.workspaces);
        const decision = dispatcher.submit(ticket, new AbortController().signal);
        void decision.then(settled => settled.ifRight(grant => granted.push([grant.request, grant.upstream])));
    };
    const turn = (): void => {
        submit();
        const [request, upstream] = granted.shift()!;
        const usage = { promptTokens: 500, cachedTokens: 0, completionTokens: 100 };
        dispatcher.complete({ request, upstream, outcome: "answered", firstTokenMs: 100, tokenMs: 30, ...usage });
    };
    for (let index = 0; index < size.upstreams * SLOTS + size.waiting; index++) submit();
    await clock.advance(0);
    const tookMs = await time(clock, turn);
    const tickMs = await timeTick(clock);
    const announceMs = timeAnnounce(registry, size.upstreams);
    dispatcher.close();
    return `${size.upstreams} upstreams, ${size.workspaces} workspaces, ${size.waiting} waiting: `
        + `decision ${toMicro(tookMs / DECISIONS)}, tick ${toMicro(tickMs)}, announcement ${toMicro(announceMs)}`;
}

async function time(clock: VirtualClock, turn: () => void): Promise<number> {
    let from = wall.monotonic();
    for (let index = 0; index < WARM_UP + DECISIONS; index++) {
        if (index === WARM_UP) from = wall.monotonic();
        turn();
        // p-queue starts the next task in a later turn of the promise queue.
        if (index % 32 === 0) await clock.advance(0);
    }
    return wall.monotonic() - from;
}

async function timeTick(clock: VirtualClock): Promise<number> {
    const TICKS = 20;
    const from = wall.monotonic();
    await clock.advance(25 * TICKS);
    return (wall.monotonic() - from) / TICKS;
}

function timeAnnounce(registry: UpstreamRegistry, upstreams: number): number {
    const ROUNDS = 5;
    const from = wall.monotonic();
    for (let round = 0; round < ROUNDS; round++) announceAll(registry, upstreams, 2 + round);
    return (wall.monotonic() - from) / ROUNDS / upstreams;
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

function toMicro(ms: number): string {
    return `${(1_000 * ms).toFixed(1)} µs`;
}
