import { Either, Left, Right } from "purify-ts";
import { EventId } from "../../ids/index.js";
import { EventError } from "../eventError/index.js";
import { EventRules } from "../eventRules/index.js";
import { parseEvent } from "../parseEvent/index.js";

const EVENT_ID_PATTERN = /^[1-9]\d{0,14}$/;

/** What a block of a stream proves to be: its next event, or a comment, which is part of no event. */
export type JudgedEvent = { readonly kind: "next"; readonly id: EventId | undefined; } | { readonly kind: "comment"; };

/**
 * Parses the id of an event: a number from 1.
 *
 * @returns undefined for any other text.
 * @example
 * const lastId = parseEventId(findHeader(headers, "last-event-id") ?? "");
 */
export function parseEventId(text: string): EventId | undefined {
    return EVENT_ID_PATTERN.test(text) ? Number(text) as EventId : undefined;
}

/**
 * Judges the blocks that an upstream sends in place of events, in order.
 *
 * Prevents bytes that no run has made from reaching the caller: where they stand proves nothing, so that each event has to prove by its
 * form and its id that it is the next one.
 *
 * @example
 * const sequence = new EventSequence(rules, lastId);
 * sequence.judge(block).ifRight(({ kind }) => kind === "next" && res.write(block));
 */
export class EventSequence {
    /** Whether the events have ids; undefined before the first one, where both are allowed. */
    private isNumbered: boolean | undefined;

    /** @param lastId - The event before the first one that is due; undefined at the beginning of a stream. */
    constructor(private readonly rules: EventRules, private lastId: EventId | undefined) {
        this.isNumbered = lastId !== undefined || !rules.mayOmitIds ? true : undefined;
    }

    /** Judges the next block; one that is rejected changes nothing. */
    judge(block: Buffer): Either<EventError, JudgedEvent> {
        return parseEvent(block, this.rules).chain(({ isComment, id }): Either<EventError, JudgedEvent> => {
            if (isComment) return Right({ kind: "comment" });
            this.isNumbered ??= id !== undefined;
            return this.isNumbered ? this.judgeId(id) : this.judgeUnnumbered(id);
        });
    }

    private judgeUnnumbered(id: string | undefined): Either<EventError, JudgedEvent> {
        return id === undefined
            ? Right({ kind: "next", id: undefined })
            : reject("mixed", "an event with an id in a stream whose events have none");
    }

    private judgeId(text: string | undefined): Either<EventError, JudgedEvent> {
        const due = (this.lastId ?? 0) + 1;
        if (text === undefined) return reject("no-id", `an event without an id where ${due} was due`);
        const id = parseEventId(text);
        if (id === undefined) return reject("bad-id", `an event whose id is no number where ${due} was due`);
        if (id < due) return reject("repeated", `event ${id} where ${due} was due`);
        if (id > due) return reject("skipped", `event ${id} where ${due} was due`);
        this.lastId = id;
        return Right({ kind: "next", id });
    }
}

function reject(kind: EventError["kind"], detail: string): Either<EventError, never> {
    return Left(new EventError(kind, detail));
}
