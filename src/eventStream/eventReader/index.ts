import { EventId } from "../../ids/index.js";
import { EventError } from "../eventError/index.js";
import { EventScanner } from "../eventScanner/index.js";
import { EventSequence } from "../eventSequence/index.js";

const NO_BYTES = new Uint8Array();

/** The events that some received bytes complete, up to the first block that is not the next event. */
export interface ReadEvents {
    /** Their bytes as the upstream sent them. */
    readonly bytes: Uint8Array;
    readonly count: number;
    /** The id of the last one; undefined where there is none, or events have no ids. */
    readonly lastId: EventId | undefined;
    /** Why the block behind them is not the next event; undefined while all are. Nothing may be read behind it. */
    readonly error: EventError | undefined;
}

/**
 * Reads the events of one answer of an upstream. Comments are left out.
 *
 * @example
 * const reader = new EventReader(new EventSequence(rules, lastId));
 * const { bytes, error } = reader.push(chunk);
 */
export class EventReader {
    private readonly scanner = new EventScanner();

    constructor(private readonly sequence: EventSequence) {}

    /** Whether a part of an event is held back. */
    get hasPartialEvent(): boolean {
        return this.scanner.hasPartialEvent;
    }

    /** Adds received bytes and returns the events that are complete now. */
    push(chunk: Uint8Array): ReadEvents {
        const events: Uint8Array[] = [];
        let lastId: EventId | undefined;
        for (const block of this.scanner.push(chunk)) {
            const judged = this.sequence.judge(block);
            if (judged.isLeft()) return makeEvents(events, lastId, judged.extract() as EventError);
            const event = judged.unsafeCoerce();
            if (event.kind === "comment") continue;
            events.push(block);
            lastId = event.id;
        }
        const error = this.scanner.isOversized
            ? new EventError("malformed", "an event above the maximum size")
            : undefined;
        return makeEvents(events, lastId, error);
    }
}

function makeEvents(
    events: readonly Uint8Array[],
    lastId: EventId | undefined,
    error: EventError | undefined,
): ReadEvents {
    const bytes = events.length > 1 ? Buffer.concat(events) : events[0] ?? NO_BYTES;
    return { bytes, count: events.length, lastId, error };
}
