import { EventId } from "../../ids/index.js";

/** Number of streams that are remembered. */
const MAX_STREAMS = 64;

/** How a stream numbers its events, as far as it has shown it. */
export interface ObservedNumbering {
    /** Id of its first event; undefined where its beginning was not seen. */
    first?: EventId;
    /** What each id adds to the one before; undefined while it is not known. */
    step?: number | "uneven";
}

/**
 * Remembers how the last streams of a pool numbered their events, those that were rejected included.
 *
 * Prevents the streams of a pool that numbers its events in another way from being rejected each time: what most streams do is no damage.
 *
 * @example
 * const observed = history.observe();
 * observed.first = id;
 * if (history.isUsualStep(4)) accept();
 */
export class NumberingHistory {
    private readonly streams: ObservedNumbering[] = [];

    /** Remembers a stream, of which nothing is known yet. */
    observe(): ObservedNumbering {
        const observed: ObservedNumbering = {};
        this.streams.push(observed);
        if (this.streams.length > MAX_STREAMS) this.streams.shift();
        return observed;
    }

    /** Whether most streams begin with an id. */
    isUsualBeginning(id: EventId): boolean {
        return isMost(this.streams.map(({ first }) => first), id);
    }

    /** Whether most streams number their events in a way. */
    isUsualStep(step: number | "uneven"): boolean {
        return isMost(this.streams.map(stream => stream.step), step);
    }
}

function isMost<Value>(values: readonly (Value | undefined)[], value: Value): boolean {
    const known = values.filter(each => each !== undefined);
    return 2 * known.filter(each => each === value).length > known.length;
}
