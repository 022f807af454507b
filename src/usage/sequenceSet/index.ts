/** A contiguous range of sequence numbers, both ends included. */
export interface SequenceRange {
    readonly first: number;
    readonly last: number;
}

/**
 * Set of sequence numbers (1, 2, 3 …), added in any order and stored as contiguous ranges. Memory grows with the number of gaps: a
 * stream without gaps needs one range, however long it is.
 *
 * @example
 * if (!seen.add(batch.sequence)) return; // duplicate
 */
export class SequenceSet {
    private ranges: SequenceRange[];

    constructor(ranges: readonly SequenceRange[] = []) {
        this.ranges = [...ranges];
    }

    /** Adds a number. Returns false when the set already had it. */
    add(sequence: number): boolean {
        const at = this.ranges.findIndex(range => sequence <= range.last + 1);
        if (at < 0) {
            this.ranges.push({ first: sequence, last: sequence });
            return true;
        }
        const range = this.ranges[at];
        if (sequence >= range.first && sequence <= range.last) return false;
        if (sequence === range.last + 1) this.extendRangeUp(at, sequence);
        else if (sequence === range.first - 1) this.ranges[at] = { first: sequence, last: range.last };
        else this.ranges.splice(at, 0, { first: sequence, last: sequence });
        return true;
    }

    /** Whether the set has a number. */
    has(sequence: number): boolean {
        return this.ranges.some(({ first, last }) => sequence >= first && sequence <= last);
    }

    snapshot(): readonly SequenceRange[] {
        return [...this.ranges];
    }

    private extendRangeUp(at: number, sequence: number): void {
        const { first } = this.ranges[at];
        const next = this.ranges[at + 1];
        if (next?.first === sequence + 1) this.ranges.splice(at, 2, { first, last: next.last });
        else this.ranges[at] = { first, last: sequence };
    }
}
