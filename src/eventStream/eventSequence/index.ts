import { Either, Left, Right } from "purify-ts";
import { EventId } from "../../ids/index.js";
import { EventError } from "../eventError/index.js";
import { EventNumbering, KnownNumbering } from "../eventNumbering/index.js";
import { EventRules } from "../eventRules/index.js";
import { ParsedEvent, parseEvent } from "../parseEvent/index.js";

const EVENT_ID_PATTERN = /^(?:0|[1-9]\d{0,14})$/;

/**
 * What a block of a stream proves to be: its next event; an event that the next one has to prove; or a comment, which is part of no
 * event. With a next event, all events before it are proved.
 */
export type JudgedEvent =
    | { readonly kind: "next"; readonly id: EventId | undefined; }
    | { readonly kind: "unproven"; }
    | { readonly kind: "comment"; };

/**
 * Parses the id of an event: a whole number from 0.
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
    /** Whether the last event may be two events, of which the first lacks its end. */
    private isLastUnproven = false;
    private readonly numbering: EventNumbering;

    /** @param lastId - The event before the first one that is due; undefined at the beginning of a stream. */
    constructor(private readonly rules: EventRules, lastId: EventId | undefined, known: KnownNumbering = {}) {
        this.isNumbered = lastId !== undefined || !rules.mayOmitIds ? true : undefined;
        this.numbering = new EventNumbering(lastId, known);
    }

    /** What each id adds to the one before; undefined while it is not proved. */
    get step(): number | undefined {
        return this.numbering.step;
    }

    /** Judges the next block; one that is rejected changes nothing. */
    judge(block: Buffer): Either<EventError, JudgedEvent> {
        return parseEvent(block, this.rules).chain((event): Either<EventError, JudgedEvent> => {
            if (event.isComment) return Right({ kind: "comment" });
            this.isNumbered ??= event.id !== undefined;
            return this.isNumbered ? this.judgeNumbered(event) : this.judgeUnnumbered(event.id);
        });
    }

    /** Returns why the stream can't end here; undefined where it can. */
    findEndError(): EventError | undefined {
        if (this.isLastUnproven) return new EventError("unproven", "an event with the id of the next one in it");
        if (!this.numbering.isWaiting) return undefined;
        return new EventError(
            "unproven",
            `the end behind events of another numbering where ${this.numbering.due} was due`,
        );
    }

    private judgeNumbered({ id, enclosedIds }: ParsedEvent): Either<EventError, JudgedEvent> {
        if (enclosedIds.some(enclosed => String(enclosed) === id)) {
            return reject("malformed", `an event with its own id ${id} in another field`);
        }
        return this.judgeId(id).map(event => {
            this.isLastUnproven = enclosedIds.includes(this.numbering.due);
            return this.isLastUnproven ? { kind: "unproven" } : event;
        });
    }

    private judgeUnnumbered(id: string | undefined): Either<EventError, JudgedEvent> {
        return id === undefined
            ? Right({ kind: "next", id: undefined })
            : reject("mixed", "an event with an id in a stream whose events have none");
    }

    private judgeId(text: string | undefined): Either<EventError, JudgedEvent> {
        const { due } = this.numbering;
        if (text === undefined) return reject("no-id", `an event without an id where ${due} was due`);
        const id = parseEventId(text);
        if (id === undefined) return reject("bad-id", `an event whose id is no number where ${due} was due`);
        const verdict = this.numbering.judge(id);
        if (verdict === "next") return Right({ kind: "next", id });
        return verdict === "unproven"
            ? Right({ kind: "unproven" })
            : reject(verdict, `event ${id} where ${due} was due`);
    }
}

function reject(kind: EventError["kind"], detail: string): Either<EventError, never> {
    return Left(new EventError(kind, detail));
}
