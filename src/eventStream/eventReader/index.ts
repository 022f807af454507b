import { isUtf8 } from "node:buffer";
import { Either, Left, Right } from "purify-ts";
import { EventId } from "../../ids/index.js";
import { HeldShare } from "../../ports/index.js";
import { EventError } from "../eventError/index.js";
import { EventScanner, MAX_EVENT_BYTES, StreamBlock } from "../eventScanner/index.js";
import { EventSequence, JudgedEvent } from "../eventSequence/index.js";

const NO_BYTES = new Uint8Array();
/** Maximum size of the blocks that wait for the next event, in bytes. */
const MAX_WAITING_BYTES = 2 * MAX_EVENT_BYTES;

/** The events that some received bytes complete, up to the first block that is not the next event. */
export interface ReadEvents {
    /** Their bytes as the upstream sent them, with the comments and empty lines among them. */
    readonly bytes: Uint8Array;
    readonly count: number;
    /** The id of the last one; undefined where there is none, or events have no ids. */
    readonly lastId: EventId | undefined;
    /** Why the block behind them is not the next event; undefined while all are. Nothing may be read behind it. */
    readonly error: EventError | undefined;
}

/**
 * Reads the events of one answer of an upstream. Bytes that are part of no event wait for the first event, and pass behind it.
 *
 * @example
 * const reader = new EventReader(new EventSequence(rules, lastId), false);
 * const { bytes, error } = reader.push(chunk);
 */
export class EventReader {
    private readonly scanner = new EventScanner();
    /** Blocks that wait for the next event. */
    private readonly waiting: Uint8Array[] = [];
    private waitingBytes = 0;
    /** Number of events among them. */
    private waitingEvents = 0;

    /**
     * @param hasBegun - Whether the caller has received a part of the stream, of which this answer is the rest.
     * @param share - Room for the bytes that are held back.
     */
    constructor(
        private readonly sequence: EventSequence,
        private hasBegun: boolean,
        private readonly share: Pick<HeldShare, "resize"> = { resize: () => true },
    ) {}

    /** Adds received bytes and returns the events that are complete now. */
    push(chunk: Uint8Array): ReadEvents {
        const ready: Uint8Array[] = [];
        let count = 0;
        let lastId: EventId | undefined;
        for (const block of this.scanner.push(chunk)) {
            const judged = this.judge(block);
            if (judged.isLeft()) return makeEvents(ready, count, lastId, judged.extract() as EventError);
            const event = judged.unsafeCoerce();
            if (event.kind !== "next") {
                this.addWaiting(ready, block, event.kind);
                continue;
            }
            count += this.waitingEvents + 1;
            ready.push(...this.takeWaiting(), block.bytes);
            this.hasBegun = true;
            lastId = event.id;
        }
        return makeEvents(ready, count, lastId, this.findExcess());
    }

    /**
     * Ends the answer.
     *
     * @returns The bytes that are still held back, or why the stream can't end here.
     */
    end(): Either<EventError, Uint8Array> {
        if (this.scanner.hasPartialEvent) return Left(new EventError("partial", "the stream ends within an event"));
        const error = this.sequence.findEndError();
        return error ? Left(error) : Right(join(this.takeWaiting()));
    }

    private judge({ bytes, kind }: StreamBlock): Either<EventError, JudgedEvent> {
        if (kind === "event") return this.sequence.judge(bytes);
        return isUtf8(bytes)
            ? Right({ kind: "comment" })
            : Left(new EventError("malformed", "bytes that are not UTF-8"));
    }

    /** Adds a block that is not the next event: an event that is not proved waits, and so does what follows it. */
    private addWaiting(ready: Uint8Array[], { bytes, kind }: StreamBlock, judged: "unproven" | "comment"): void {
        // Within a stream, the mark would be part of the next line.
        if (kind === "byte-order-mark" && this.hasBegun) return;
        if (judged === "comment" && this.hasBegun && this.waitingEvents === 0) {
            ready.push(bytes);
            return;
        }
        if (judged === "unproven") this.waitingEvents++;
        this.waiting.push(bytes);
        this.waitingBytes += bytes.length;
    }

    private takeWaiting(): Uint8Array[] {
        this.waitingBytes = 0;
        this.waitingEvents = 0;
        return this.waiting.splice(0);
    }

    private findExcess(): EventError | undefined {
        if (this.scanner.isOversized) return new EventError("malformed", "an event above the maximum size");
        if (this.waitingBytes > MAX_WAITING_BYTES) {
            return new EventError("malformed", "too many bytes before the next event");
        }
        const heldBytes = this.scanner.heldBytes + this.waitingBytes;
        return this.share.resize(heldBytes)
            ? undefined
            : new EventError("no-room", `no room for ${heldBytes} bytes before the next event`);
    }
}

function makeEvents(
    blocks: readonly Uint8Array[],
    count: number,
    lastId: EventId | undefined,
    error: EventError | undefined,
): ReadEvents {
    return { bytes: join(blocks), count, lastId, error };
}

function join(blocks: readonly Uint8Array[]): Uint8Array {
    return blocks.length > 1 ? Buffer.concat(blocks) : blocks[0] ?? NO_BYTES;
}
