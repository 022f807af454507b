/** Which item was picked, and how much it weighs. */
export interface Picked<Item> {
    readonly item: Item;
    readonly weight: number;
}

/**
 * Picks the lightest item, the first of several that weigh the same, and weighs only those that can still win by a bound from below.
 *
 * @param items - At least one.
 * @param floorOf - What an item weighs at least; cheap.
 * @param weigh - What it weighs, given that bound; dear.
 * @returns The item that weighing all of them would give.
 * @example
 * const { item } = pickLeast(candidates, load => waitMs(load), (load, floor) => floor + stallMs(load));
 */
export function pickLeast<Item>(
    items: readonly Item[],
    floorOf: (item: Item) => number,
    weigh: (item: Item, floor: number) => number,
): Picked<Item> {
    const floors = items.map(floorOf);
    let best = indexOfLeast(floors);
    let least = weigh(items[best], floors[best]);
    const first = best;
    for (let index = 0; index < items.length; index++) {
        if (index === first || !canWin(floors[index], index)) continue;
        const weight = weigh(items[index], floors[index]);
        if (!canWin(weight, index)) continue;
        best = index;
        least = weight;
    }
    return { item: items[best], weight: least };

    function canWin(weight: number, index: number): boolean {
        return weight < least || (weight === least && index < best);
    }
}

function indexOfLeast(values: readonly number[]): number {
    let least = 0;
    for (let index = 1; index < values.length; index++) {
        if (values[index] < values[least]) least = index;
    }
    return least;
}
