import { PoolId } from "../../ids/index.js";
import { NumberingHistory } from "../numberingHistory/index.js";

/** Number of pools that are remembered. */
const MAX_POOLS = 256;

/**
 * The numbering histories of pools, with those of pools that were not asked for longest left out.
 *
 * @example
 * const sequence = new EventSequence(rules, undefined, { history: numberings.of(pool) });
 */
export class PoolNumberings {
    private readonly histories = new Map<PoolId, NumberingHistory>();

    /** Returns the history of a pool, which is empty at first. */
    of(pool: PoolId): NumberingHistory {
        const history = this.histories.get(pool) ?? new NumberingHistory();
        this.histories.delete(pool);
        this.histories.set(pool, history);
        if (this.histories.size > MAX_POOLS) this.histories.delete(this.histories.keys().next().value!);
        return history;
    }
}
