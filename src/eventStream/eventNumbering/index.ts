import { EventId } from "../../ids/index.js";
import { NumberingHistory, ObservedNumbering } from "../numberingHistory/index.js";

/** An id above this begins a numbering of its own: so many events can't be missing in front of it. */
const MAX_MISSING_EVENTS = 100;

/**
 * What an id says of its event: that it is the next one; that the next ones have to prove it; that it comes again; or that one before it is
 * missing.
 */
export type NumberingVerdict = "next" | "unproven" | "repeated" | "skipped";

/** What is known of a stream's numbering before its first event of an answer. */
export interface KnownNumbering {
    /** What each id adds to the one before; undefined while it is not known. */
    readonly step?: number;
    /** How other streams of the pool number their events. */
    readonly history?: NumberingHistory;
}

/**
 * Judges the ids of a stream's events: they rise in equal steps.
 *
 * Any step and any beginning are allowed, but a missing event must show. Streams that count from 0 or 1 by 1 prove themselves, and so do
 * those that begin at their own step. Another step is proved by the next event; another beginning by what most streams of the pool do.
 *
 * @example
 * const numbering = new EventNumbering(undefined, { history });
 * numbering.judge(4 as EventId); // "unproven"
 * numbering.judge(8 as EventId); // "next"
 */
export class EventNumbering {
    private readonly history: NumberingHistory;
    private readonly unproven: EventId[] = [];
    private firstId: EventId | undefined;
    private provenStep: number | undefined;
    /** Undefined where the numbering is known from an earlier answer. */
    private readonly observed: ObservedNumbering | undefined;

    /** @param lastId - The event before the first one that is due; undefined at the beginning of a stream. */
    constructor(private lastId: EventId | undefined, { step, history = new NumberingHistory() }: KnownNumbering = {}) {
        this.provenStep = step;
        this.history = history;
        this.observed = step === undefined ? history.observe() : undefined;
    }

    /** What each id adds to the one before; undefined while it is not proved. */
    get step(): number | undefined {
        return this.provenStep;
    }

    /** The id that is due; the most likely one where several are allowed. */
    get due(): number {
        return (this.lastId ?? 0) + (this.provenStep ?? 1);
    }

    /** Whether events wait to be proved. */
    get isWaiting(): boolean {
        return this.unproven.length > 0;
    }

    /** Judges the next id; one that is rejected does not change what is due. */
    judge(id: EventId): NumberingVerdict {
        const last = this.unproven.at(-1) ?? this.lastId;
        if (last !== undefined && id <= last) return "repeated";
        if (last === undefined) return this.judgeFirst(id);
        if (this.history.isUsualStep("uneven")) return this.accept(id);
        return this.isWaiting ? this.judgeWaiting(id) : this.judgeNext(id, last);
    }

    private judgeFirst(id: EventId): NumberingVerdict {
        const isProven = id <= 1 || id > MAX_MISSING_EVENTS || this.history.isUsualBeginning(id)
            || this.history.isUsualStep("uneven");
        this.firstId = id;
        this.observe({ first: id });
        return isProven ? this.accept(id) : this.wait(id);
    }

    private judgeNext(id: EventId, last: EventId): NumberingVerdict {
        const step = id - last;
        if (this.provenStep === undefined) return this.isStep(step, last) ? this.acceptStep(id, step) : this.wait(id);
        return step === this.provenStep ? this.accept(id) : this.rejectUneven();
    }

    private isStep(step: number, last: EventId): boolean {
        return step === 1 || this.history.isUsualStep(step) || this.beginsAtStep(step, last);
    }

    private beginsAtStep(step: number, last: EventId): boolean {
        return last === this.firstId && step === last;
    }

    /** Judges an id behind one or two that are not proved. */
    private judgeWaiting(id: EventId): NumberingVerdict {
        const ids = this.lastId === undefined ? this.unproven : [this.lastId, ...this.unproven];
        const [first, second] = ids;
        if (second === undefined) {
            const step = id - first;
            return this.beginsAtStep(step, first) ? this.acceptStep(id, step) : this.wait(id);
        }
        const step = second - first;
        if (id - second !== step) return this.rejectUneven();
        this.observe({ step });
        return this.lastId === undefined ? "skipped" : this.acceptStep(id, step);
    }

    private acceptStep(id: EventId, step: number): "next" {
        this.provenStep = step;
        this.observe({ step });
        return this.accept(id);
    }

    private accept(id: EventId): "next" {
        this.unproven.length = 0;
        this.lastId = id;
        return "next";
    }

    private wait(id: EventId): "unproven" {
        this.unproven.push(id);
        return "unproven";
    }

    private rejectUneven(): "skipped" {
        this.observe({ step: "uneven" });
        return "skipped";
    }

    private observe(observed: ObservedNumbering): void {
        if (this.observed) Object.assign(this.observed, observed);
    }
}
