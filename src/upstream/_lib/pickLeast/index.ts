/** The picked item and its weight. */
export interface Picked<Item> {
    readonly item: Item;
    readonly weight: number;
}

/**
 * Picks the item with the least weight, the first of several equal ones, and weighs only items whose lower bound can
 * still win.
 *
 * @param items - At least one.
 * @param lowerBoundOf - Returns a lower bound of an item's weight; cheap.
 * @param weigh - Returns an item's weight, given that bound; expensive.
 * @returns The same item as if all of them were weighed.
 * @example
 * const { item } = pickLeast(candidates, load => waitMs(load), (load, lowerBound) => lowerBound + stallMs(load));
 */
export function pickLeast<Item>(
    items: readonly Item[],
    lowerBoundOf: (item: Item) => number,
    weigh: (item: Item, lowerBound: number) => number,
): Picked<Item> {
    const lowerBounds = items.map(lowerBoundOf);
    let best = indexOfMin(lowerBounds);
    let minWeight = weigh(items[best], lowerBounds[best]);
    const first = best;
    for (let index = 0; index < items.length; index++) {
        if (index === first || !canWin(lowerBounds[index], index)) continue;
        const weight = weigh(items[index], lowerBounds[index]);
        if (!canWin(weight, index)) continue;
        best = index;
        minWeight = weight;
    }
    return { item: items[best], weight: minWeight };

    function canWin(weight: number, index: number): boolean {
        return weight < minWeight || (weight === minWeight && index < best);
    }
}

function indexOfMin(values: readonly number[]): number {
    let minIndex = 0;
    for (let index = 1; index < values.length; index++) {
        if (values[index] < values[minIndex]) minIndex = index;
    }
    return minIndex;
}
