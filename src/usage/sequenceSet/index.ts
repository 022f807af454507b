/** A run of numbers that were seen: from `first` to `last`, both included. */
export interface SequenceRange {
    readonly first: number;
    readonly last: number;
}

/**
 * Which numbers of 1, 2, 3 … were seen, in any order. Costs one range for each gap, so a stream without gaps costs the same
 * however long it runs.
 *
 * @example
 * if (!seen.add(batch.sequence)) return; // counted before
 */
export class SequenceSet {
    private ranges: SequenceRange[];

    constructor(ranges: readonly SequenceRange[] = []) {
        this.ranges = [...ranges];
    }

    /** Takes in a number. False when it was there. */
    add(sequence: number): boolean {
        const at = this.ranges.findIndex(range => sequence <= range.last + 1);
        if (at < 0) {
            this.ranges.push({ first: sequence, last: sequence });
            return true;
        }
        const range = this.ranges[at];
        if (sequence >= range.first && sequence <= range.last) return false;
        if (sequence === range.last + 1) this.extendUp(at, sequence);
        else if (sequence === range.first - 1) this.ranges[at] = { first: sequence, last: range.last };
        else this.ranges.splice(at, 0, { first: sequence, last: sequence });
        return true;
    }

    snapshot(): readonly SequenceRange[] {
        return [...this.ranges];
    }

    private extendUp(at: number, sequence: number): void {
        const { first } = this.ranges[at];
        const next = this.ranges[at + 1];
        if (next?.first === sequence + 1) this.ranges.splice(at, 2, { first, last: next.last });
        else this.ranges[at] = { first, last: sequence };
    }
}
