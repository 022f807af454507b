import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolNumberings } from "../../eventStream/index.js";
import { EventId } from "../../ids/index.js";
import { HeaderList, HeldBytes, HttpReply, VirtualClock } from "../../ports/index.js";
import { Attempt, AttemptResult, SilenceWatch } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";
import { ReplyHead } from "../callDialect/index.js";
import { NativeDialect } from "../nativeDialect/index.js";
import { createStreamState, StreamState } from "../streamState/index.js";
import { relayStream } from "./index.js";

const EVENT = "data: one\n\n";
const NO_HEAD = { headers: [] } as unknown as ReplyHead;

/** Records what is expected of the upstream, among the other steps of a stream. */
class RecordingWatch extends SilenceWatch {
    constructor(private readonly steps: string[]) {
        super();
    }

    expectBeginning(): void {}

    expectMore(): void {
        this.steps.push("expect more");
    }

    pause(): void {
        this.steps.push("pause");
    }
}

function makeContext(clock: VirtualClock, numberings = new PoolNumberings()): CallContext {
    return {
        clock,
        time: { now: () => 0 },
        dispatcher: { progress() {} },
        software: { find: () => undefined, isMixed: () => false },
        parts: { recordBegun() {} },
        dialect: new NativeDialect(),
        numberings,
        heldBytes: new HeldBytes(),
        metrics: { count() {} },
        logger: { warn() {} },
    } as unknown as CallContext;
}

/** Relays a stream of two events, the second in two pieces. */
function relay(
    clock: VirtualClock,
    write: () => Promise<void>,
    signal: AbortSignal,
    steps: string[] = [],
    stream = createStreamState(),
): Promise<AttemptResult> {
    const call = { route: { resumable: false }, pool: "ledger", sharedParts: [], head: {}, arrivedAt: 0 };
    const attempt = {
        call,
        grant: {},
        run: { signal, waitFor() {} },
        answer: { write, sendHead() {}, end() {} },
        stream,
        silence: new RecordingWatch(steps),
        tokensPerEvent: 1,
    } as unknown as Attempt;
    const body = (async function*(): AsyncGenerator<Uint8Array> {
        yield Buffer.from(EVENT);
        yield Buffer.from(EVENT.slice(0, 5));
        yield Buffer.from(EVENT.slice(5));
    })();
    const reply: HttpReply = { status: 200, headers: [["transfer-encoding", "chunked"]], body, reset() {} };
    return relayStream(makeContext(clock), attempt, reply, NO_HEAD);
}

/** How an upstream frames the body of a stream. */
type Framing = "chunked" | "length" | "close";

const FRAMINGS: readonly Framing[] = ["chunked", "length", "close"];
const FRAMING_HEADERS: Readonly<Record<Framing, HeaderList>> = {
    chunked: [["transfer-encoding", "chunked"]],
    length: [["content-length", "1000"]],
    close: [],
};

/** What became of a stream of which an upstream sent some bytes. */
interface Played {
    readonly result: AttemptResult;
    /** What the caller received, in the pieces in which it was written. */
    readonly steps: readonly string[];
    readonly written: string;
    readonly stream: StreamState;
    readonly isReset: boolean;
}

interface Play {
    readonly framing?: Framing;
    readonly resumable?: boolean;
    /** The last event that the caller says it has. */
    readonly lastEventId?: string;
    readonly stream?: StreamState;
    /** How earlier streams numbered their events. */
    readonly numberings?: PoolNumberings;
}

/** Relays a body that arrives in one piece. */
async function play(text: string, options: Play = {}): Promise<Played> {
    return playParts([text], options);
}

/** Relays a body that arrives in several pieces. */
async function playParts(parts: readonly string[], options: Play = {}): Promise<Played> {
    const { framing = "chunked", resumable = true, lastEventId, stream = createStreamState() } = options;
    const written: string[] = [];
    let isReset = false;
    const signal = new AbortController().signal;
    const route = { name: "letters", kind: "stream", resumable };
    const attempt = {
        call: { route, pool: "ledger", sharedParts: [], head: { lastEventId }, arrivedAt: 0 },
        grant: {},
        run: { signal, waitFor() {} },
        answer: {
            write: async (bytes: Uint8Array) => void written.push(String(bytes)),
            sendHead() {},
            end: (bytes?: Uint8Array) => void written.push(bytes ? String(bytes) : ""),
        },
        stream,
        silence: new RecordingWatch([]),
        tokensPerEvent: 1,
    } as unknown as Attempt;
    const body = (async function*(): AsyncGenerator<Uint8Array> {
        for (const part of parts) yield Buffer.from(part);
    })();
    const reset = (): void => void (isReset = true);
    const reply: HttpReply = { status: 200, headers: FRAMING_HEADERS[framing], body, reset };
    const result = await relayStream(makeContext(new VirtualClock(), options.numberings), attempt, reply, NO_HEAD);
    if (result.kind === "answered") result.deliver();
    return { result, steps: written, written: written.join(""), stream, isReset };
}

function event(id: number): string {
    return `id: ${id}\ndata: event ${id}\n\n`;
}

describe("relayStream", () => {
    it("expects nothing of the upstream while the caller takes an event", async () => {
        // A caller that reads slowly would have its stream moved off an upstream that is not silent.
        const clock = new VirtualClock();
        const steps: string[] = [];
        const write = async (): Promise<void> => {
            await clock.sleep(60_000);
            steps.push("written");
        };
        await clock.runUntil(relay(clock, write, new AbortController().signal, steps), 600_000);
        const event = ["pause", "written", "expect more"];
        assert.deepEqual(steps, [...event, ...event, "pause"]);
    });

    it("counts no event of a cancelled attempt as delivered", async () => {
        // Failure: a stream goes on at another upstream behind an event that its caller has never received.
        const stream = createStreamState();
        const cancelled = AbortSignal.abort();
        const result = await relay(new VirtualClock(), async () => undefined, cancelled, [], stream);
        assert.deepEqual([result.kind, stream.eventCount], ["ended", 0]);
    });

    it("ends when the call is cancelled while its caller does not read", async () => {
        // Failure: the slot and both connections stay taken until the caller closes its own.
        const clock = new VirtualClock();
        const cancel = new AbortController();
        const relayed = relay(clock, () => new Promise(() => undefined), cancel.signal);
        clock.after(1_000, () => cancel.abort());
        const result = await clock.runUntil(relayed, 10_000);
        assert.equal(result.kind, "ended");
    });

    describe("the end of a body", () => {
        for (const framing of FRAMINGS) {
            it(`counts as the end of the stream behind a whole event, framed by ${framing}`, async () => {
                const { result, written } = await play(`${event(1)}${event(2)}\n`, { framing });
                assert.deepEqual([result.kind, written], ["answered", `${event(1)}${event(2)}\n`]);
            });

            it(`does not count as the end of the stream within an event, framed by ${framing}`, async () => {
                // Failure: the caller gets half an event, and an answer that ends as complete.
                const { result, written, stream } = await play(`${event(1)}id: 2\ndata: ev`, { framing });
                assert.deepEqual([result.kind, written, stream.lastEventId], ["ended", event(1), 1 as EventId]);
            });
        }
    });

    describe("blocks that are not the next event", () => {
        // Failure: the caller gets pieces that no run made, since a block counts as an event because it stands where one is due.
        const faults: readonly (readonly [string, string])[] = [
            ["garbage", "q8Zx\n\n"],
            ["garbage without an end", "q8Zx"],
            ["an empty id", "id: \ndata: event 3\n\n"],
            ["an id that is no number", "id: x\ndata: event 3\n\n"],
            ["no id", "data: event 3\n\n"],
            ["an id without data", "id: 3\n\n"],
            ["the last event once more", event(2)],
            ["the first event once more", event(1)],
            ["a later event", event(4)],
            ["the head of a second answer", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"],
            ["half an event and the head of a second answer", "id: 3\ndata: haHTTP/1.1 200 OK\r\nx-note: 1\r\n\r\n"],
            ["half an event and a whole one", `id: 3\nda${event(3)}`],
            ["half an event and the next one", `id: 3\ndata: ha${event(4)}${event(5)}`],
            ["half an event and itself", `id: 3\ndata: ha${event(3)}`],
        ];
        for (const framing of FRAMINGS) {
            for (const [name, block] of faults) {
                it(`forwards nothing from ${name} on, framed by ${framing}`, async () => {
                    const good = event(1) + event(2);
                    const { result, written, stream, isReset } = await play(good + block + event(3), { framing });
                    assert.deepEqual([result.kind, written, stream.lastEventId], ["ended", good, 2 as EventId]);
                    assert.equal(result.kind === "ended" && result.end, "broken");
                    assert.equal(isReset, true);
                });
            }
        }

        it("counts an event above the maximum size as the upstream's failure, behind the events before it", async () => {
            // Failure: nothing says which upstream sent it, and whole events before it are requested again.
            const { result, written } = await play(`${event(1)}id: 2\ndata: ${"x".repeat(1024 * 1024)}`);
            assert.deepEqual([result.kind === "ended" && result.isUpstreamFault, written], [true, event(1)]);
        });

        it("forwards events without ids where the stream can't be resumed", async () => {
            const { result, written } = await play("data: a\n\ndata: b\n\n", { resumable: false });
            assert.deepEqual([result.kind, written], ["answered", "data: a\n\ndata: b\n\n"]);
        });

        it("counts as lost where it is the first", async () => {
            const { result, written } = await play(`q8Zx\n\n${event(1)}`);
            assert.equal(result.kind === "ended" && result.end, "lost");
            assert.equal(written, "");
        });
    });

    describe("events as the media type allows them", () => {
        const forms: readonly (readonly [string, string])[] = [
            ["two data lines", "id: 2\ndata: first\ndata: second\n\n"],
            ["forty data lines", `id: 2\n${"data: line\n".repeat(40)}\n`],
            ["a field that readers ignore", "id: 2\nnote: x\ndata: event 2\nmeta: y\n\n"],
            ["a data line with the id of the next event", "id: 2\ndata: - id: 3\ndata:   name: x\n\n"],
        ];
        for (const framing of FRAMINGS) {
            for (const [name, form] of forms) {
                it(`reach the caller with ${name}, framed by ${framing}`, async () => {
                    // Failure: the stream of a sound upstream is cut, since an event has a form that others have not.
                    const body = event(1) + form + event(3);
                    const { result, written, stream } = await play(body, { framing });
                    assert.deepEqual([result.kind, written, stream.eventCount], ["answered", body, 3]);
                });
            }
        }
    });

    describe("numberings", () => {
        const numberings: readonly (readonly [string, readonly number[]])[] = [
            ["from 0", [0, 1, 2, 3]],
            ["from 0 by 4", [0, 4, 8, 12]],
            ["from 1 by 4", [1, 5, 9, 13]],
            ["by 4", [4, 8, 12, 16]],
            ["from 1,000", [1_000, 1_001, 1_002, 1_003]],
            ["from 1,000 by 10", [1_000, 1_010, 1_020, 1_030]],
        ];
        for (const framing of FRAMINGS) {
            for (const [name, ids] of numberings) {
                it(`reach the caller: ${name}, framed by ${framing}`, async () => {
                    // Failure: the stream of a sound upstream is cut, since its ids are not those that others write.
                    const body = ids.map(event).join("");
                    const { result, written, stream } = await play(body, { framing });
                    assert.deepEqual([result.kind, written, stream.lastEventId], ["answered", body, ids.at(-1)]);
                });

                it(`break off where an event is missing: ${name}, framed by ${framing}`, async () => {
                    // Failure: a piece is missing, and the answer ends as complete.
                    const { result, written } = await play([ids[0], ids[1], ids[3]].map(event).join(""), { framing });
                    assert.equal(result.kind, "ended");
                    assert.ok([ids[0], ids[1]].map(event).join("").startsWith(written), written);
                });
            }
        }

        it("go on with their step at another upstream", async () => {
            const begun = (await play(event(4) + event(8), { framing: "close" })).stream;
            assert.equal((await play(event(12) + event(16), { stream: begun })).result.kind, "answered");
            for (const wrong of [9, 16]) {
                // Failure: the rest of another upstream does not begin where the caller's part ends.
                const { result, written } = await play(event(wrong), {
                    stream: { ...begun, lastEventId: 8 as EventId },
                });
                assert.deepEqual([result.kind, written], ["ended", ""]);
            }
        });

        it("pass without a wait once the pool's streams have shown theirs", async () => {
            const numberings = new PoolNumberings();
            await play([4, 8, 12].map(event).join(""), { numberings });
            const { steps } = await playParts([4, 8].map(event), { numberings });
            assert.deepEqual(steps.slice(0, 2), [event(4), event(8)]);
            assert.equal((await play(event(4), { numberings })).result.kind, "answered");
        });
    });

    describe("bytes that are part of no event", () => {
        const bodies: readonly (readonly [string, string])[] = [
            ["a comment before the first event", `: wait\n\n${event(1)}${event(2)}`],
            ["a comment between events", `${event(1)}: alive\n\n${event(2)}`],
            ["a comment without an empty line behind it, at the end", `${event(1)}: end\n`],
            ["a second empty line between events", `${event(1)}\n${event(2)}\n`],
            ["a byte-order mark at the beginning", `\uFEFF${event(1)}`],
            ["a reconnection time of its own", `${event(1)}retry: 100\n\n${event(2)}`],
        ];
        for (const [name, body] of bodies) {
            it(`reach the caller: ${name}`, async () => {
                // Failure: the caller's body is not the upstream's, and a comment that keeps its connection alive is missing.
                const { result, written } = await play(body);
                assert.deepEqual([result.kind, written], ["answered", body]);
            });
        }

        it("reach the caller as they arrive", async () => {
            // Failure: the caller takes a stream for dead, since comments wait for the next event.
            const { result, steps } = await playParts([event(1), ": alive\n", event(2)]);
            assert.deepEqual([result.kind, steps.filter(step => step !== "")], ["answered", [
                event(1),
                ": alive\n",
                event(2),
            ]]);
        });

        it("leave out a byte-order mark where a stream goes on", async () => {
            const begun = { ...createStreamState(), eventCount: 2, lastEventId: 2 as EventId, isHeadSent: true };
            const { written } = await play(`\uFEFF: wait\n\n${event(3)}`, { stream: begun });
            assert.equal(written, `: wait\n\n${event(3)}`);
        });
    });

    describe("an answer without an event", () => {
        for (const framing of FRAMINGS) {
            for (
                const [name, text] of [["no byte", ""], ["an empty line", "\n\n"], ["a comment", ": note\n\n"]] as const
            ) {
                it(`is no stream that has ended, with ${name}, framed by ${framing}`, async () => {
                    // Failure: the caller takes nothing for the whole stream.
                    const { result, written } = await play(text, { framing });
                    assert.equal(result.kind === "ended" && result.end, "lost");
                    assert.equal(written, "");
                });

                it(`does not end the rest of a stream, with ${name}, framed by ${framing}`, async () => {
                    // Failure: a stream ends as complete before its last piece, at an upstream that was asked for its rest.
                    const stream = { ...createStreamState(), eventCount: 2, lastEventId: 2 as EventId };
                    const { result } = await play(text, { framing, stream });
                    assert.equal(result.kind === "ended" && result.end, "broken");
                });
            }
        }

        it("may be the whole of a stream whose events have no ids", async () => {
            const { result } = await play("", { resumable: false });
            assert.equal(result.kind, "answered");
        });
    });

    describe("a stream that another upstream continues", () => {
        const begun = (): StreamState => ({ ...createStreamState(), eventCount: 2, lastEventId: 2 as EventId });

        it("goes on behind the last event of the first one", async () => {
            const { result, written, stream } = await play(event(3), { stream: begun() });
            assert.deepEqual([result.kind, written, stream.eventCount], ["answered", event(3), 3]);
        });

        it("goes on behind the last event that the caller has", async () => {
            assert.equal((await play(event(8), { lastEventId: "7" })).written, event(8));
        });

        for (
            const [name, options] of [["this host", { stream: begun() }], ["the caller", { lastEventId: "2" }]] as const
        ) {
            it(`does not begin anew where ${name} has asked for its rest`, async () => {
                // Failure: an upstream that ignores the last event's id brings the caller each piece twice.
                const { result, written } = await play(event(1) + event(2) + event(3), options);
                assert.deepEqual([result.kind, written], ["ended", ""]);
            });
        }
    });
});
