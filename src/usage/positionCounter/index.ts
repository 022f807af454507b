/**
 * Numbers what one run of an entry counts, across all kinds of usage, from 1.
 *
 * @example
 * const position = positions.next();
 */
export class PositionCounter {
    private value = 0;

    /** The number given last; 0 before the first. */
    get last(): number {
        return this.value;
    }

    next(): number {
        return ++this.value;
    }
}
