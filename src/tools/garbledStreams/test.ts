import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { exchangeCall } from "../exchangeCall/index.js";
import { Framing, FRAMINGS } from "../formatRawStream/index.js";
import { RawReply, RawRequest, RawUpstream } from "../rawUpstream/index.js";
import { RoutedProcessFleet } from "../routedProcesses/index.js";
import { checkGarbledStreams, hasAllEvents, isComplete, StreamExchange } from "./checkGarbledStreams/index.js";
import { formatServedStream, readAskedStream, ServedStream } from "./drawGarbledReply/index.js";
import { makeStreamDocument, STREAM_HOST, STREAM_POOL, STREAM_ROUTES } from "./garblePlan/index.js";
import { STREAM_SHAPES, StreamShape } from "./streamShapes/index.js";
import { STREAM_STYLES } from "./streamStyles/index.js";

const ZONES = ["keflavik", "grindavik", "vogar"];
const START_LIMIT_MS = 20_000;
const START_PAUSE_MS = 50;
const GIVE_UP_MS = 15_000;
const TOTAL = 8;
/** Events of an upstream's part before the one that is spoilt. */
const EVENTS_BEFORE = 2;
/** Whole streams before each shape; the repeats budget grows with them. */
const MIN_WHOLE_STREAMS = 60;
const CONCURRENCY = 30;
const [RESUMABLE, NOT_RESUMABLE] = STREAM_ROUTES;
const [WHOLE] = STREAM_SHAPES;
const [PLAIN] = STREAM_STYLES;
const BROKEN_OFF = STREAM_SHAPES.find(({ name }) => name === "connection closed within an event")!;

describe("streams of upstreams that spoil them", () => {
    let fleet: RoutedProcessFleet;
    let upstreams: RawUpstream[] = [];
    let served: ServedStream[] = [];
    let sentCount = 0;
    const agent = new Agent({ keepAlive: true, maxSockets: CONCURRENCY });
    /** The shapes that a request gets, one after the other; whole streams follow them. */
    const plans = new Map<string, { readonly shapes: StreamShape[]; readonly framing: Framing; }>();

    before(async () => {
        fleet = await RoutedProcessFleet.start({ entries: 1, controls: 1 }, []);
        await fleet.applyDocument(makeStreamDocument());
        upstreams = await Promise.all(ZONES.map((zone, number) =>
            RawUpstream.start({
                zone,
                id: `upstream-${number}`,
                pool: STREAM_POOL,
                slots: 64,
                softwareVersion: "1",
                announceTo: fleet.processes.announcementAddresses,
                reply: request => reply(request, `upstream-${number}`),
            })
        ));
        const giveUpAt = Date.now() + START_LIMIT_MS;
        while (upstreams.some(({ arrivals }) => arrivals.length === 0)) {
            assert.ok(Date.now() < giveUpAt, "some upstreams got no call");
            await sendWholeStreams(CONCURRENCY);
            await sleep(START_PAUSE_MS);
        }
    });

    after(async () => {
        agent.destroy();
        await Promise.all(upstreams.map(upstream => upstream.close()));
        await fleet.close();
    });

    function reply(request: RawRequest, upstream: string): RawReply {
        const asked = readAskedStream(request);
        const plan = plans.get(request.id);
        const shape = plan?.shapes.shift() ?? WHOLE;
        const at = Math.min(asked.total, asked.from + EVENTS_BEFORE);
        const framing = plan?.framing ?? "chunked";
        const stream = { ...asked, request: request.id, upstream, shape, at, framing };
        served.push(stream);
        return formatServedStream(stream);
    }

    async function sendStream(
        { name, isResumable }: typeof RESUMABLE,
        shapes: readonly StreamShape[],
        framing: Framing,
        style = PLAIN,
    ): Promise<StreamExchange> {
        const request = `stream-${++sentCount}`;
        plans.set(request, { framing, shapes: [...shapes] });
        const sentAt = Date.now();
        const answer = await exchangeCall({
            agent,
            address: fleet.processes.routeAddresses[0],
            path: `/${name}/${request}/${TOTAL}/${style.name}`,
            headers: { host: STREAM_HOST, [CALL_HEADERS.request]: request },
            body: request,
            giveUpMs: GIVE_UP_MS,
        });
        assert.ok(answer, "the entry accepts no connection");
        const { status, body, end } = answer;
        const asked = { run: request, total: TOTAL, from: 1, style };
        return { ...asked, request, route: name, isResumable, entry: 0, sentAt, status, body, end };
    }

    async function sendWholeStreams(count: number): Promise<void> {
        await Promise.all(Array.from({ length: count }, () => sendStream(NOT_RESUMABLE, [], "chunked")));
    }

    function assertNoFaults(exchanges: readonly StreamExchange[]): void {
        const faults = checkGarbledStreams({ exchanges, served, runs: [], endedEntries: [] });
        assert.deepEqual(faults.map(({ kind, detail }) => `${kind} ${detail}`), []);
    }

    function assertComplete(exchanges: readonly StreamExchange[]): void {
        const others = exchanges.filter(exchange => !isComplete(exchange));
        assert.deepEqual(others.map(({ status, end, body }) => `${status} ${end} ${JSON.stringify(body)}`), []);
    }

    /** What stands behind the last event proves no end, and neither does an empty answer of the next upstream. */
    function assertBrokenOffAtEnd(exchanges: readonly StreamExchange[]): void {
        const others = exchanges.filter(exchange => exchange.end !== "cut" || !hasAllEvents(exchange));
        assert.deepEqual(others.map(({ status, end, body }) => `${status} ${end} ${JSON.stringify(body)}`), []);
    }

    for (const style of STREAM_STYLES) {
        describe(`events written in the style ${style.name}`, () => {
            before(async () => {
                served = [];
                await sendWholeStreams(MIN_WHOLE_STREAMS);
            });

            for (const route of STREAM_ROUTES) {
                it(`reach the callers of ${route.name}`, async () => {
                    // Failure: the stream of a sound upstream is cut, since its events have another form.
                    const exchanges = await Promise.all(FRAMINGS.map(framing => sendStream(route, [], framing, style)));
                    assertNoFaults(exchanges);
                    assertComplete(exchanges);
                });
            }

            it("go on at another upstream where the first one breaks off", async () => {
                // Failure: the next upstream is asked for another event than the one that is due, or its part is rejected.
                const exchanges = await Promise.all(
                    FRAMINGS.map(framing => sendStream(RESUMABLE, [BROKEN_OFF], framing, style)),
                );
                assertNoFaults(exchanges);
                assertComplete(exchanges);
            });
        });
    }

    for (const shape of STREAM_SHAPES) {
        const isFitting = (isResumable: boolean): boolean =>
            shape.isFitting?.({ isResumable, run: "stream", total: TOTAL, from: 1, style: PLAIN }, 1 + EVENTS_BEFORE)
                ?? true;
        const framings = FRAMINGS.filter(framing => shape.framings?.includes(framing) ?? true);
        const send = (route: typeof RESUMABLE, shapes: readonly StreamShape[]): Promise<StreamExchange[]> =>
            Promise.all(framings.map(framing => sendStream(route, shapes, framing)));

        describe(shape.name, () => {
            before(async () => {
                served = [];
                await sendWholeStreams(MIN_WHOLE_STREAMS);
            });

            const assertOutcome = shape.isBehindLastEvent ? assertBrokenOffAtEnd : assertComplete;
            const outcome = shape.isBehindLastEvent ? "brings all events and breaks off" : "ends complete";

            if (!shape.isForResumptions && isFitting(false)) {
                it(`${shape.isFaulty ? "breaks off" : "reaches the caller"} where the route can't be resumed`, async () => {
                    // Failure: bytes that are no next event of the stream reach the caller, or a sound stream doesn't.
                    const exchanges = await send(NOT_RESUMABLE, [shape]);
                    assertNoFaults(exchanges);
                    if (!shape.isFaulty) assertComplete(exchanges);
                });
            }

            if (!shape.isForResumptions) {
                it(`${outcome} where the route can be resumed`, async () => {
                    // Failure: a spoilt stream does not go on behind its last sound event at another upstream.
                    const exchanges = await send(RESUMABLE, [shape]);
                    assertNoFaults(exchanges);
                    assertOutcome(exchanges);
                });
            }

            it(`${outcome} where it comes in answer to a resumption`, async () => {
                // Failure: a part that joins the stream wrongly reaches the caller.
                const exchanges = await send(RESUMABLE, [BROKEN_OFF, shape]);
                assertNoFaults(exchanges);
                assertOutcome(exchanges);
            });
        });
    }
});
