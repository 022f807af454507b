/** A binary heap that removes any item in logarithmic time. Items that compare equal keep their insertion order. */
export class Heap<Item> {
    private readonly items: Item[] = [];
    private readonly indexes = new Map<Item, number>();
    private readonly insertionNumbers = new Map<Item, number>();
    private nextInsertion = 0;

    /** @param isBefore - Whether `a` is ordered before `b`. */
    constructor(private readonly isBefore: (a: Item, b: Item) => boolean) {}

    get size(): number {
        return this.items.length;
    }

    get first(): Item | undefined {
        return this.items[0];
    }

    /** Returns the items in no particular order. */
    values(): readonly Item[] {
        return this.items;
    }

    has(item: Item): boolean {
        return this.indexes.has(item);
    }

    add(item: Item): void {
        this.items.push(item);
        this.indexes.set(item, this.items.length - 1);
        this.insertionNumbers.set(item, this.nextInsertion++);
        this.moveUp(this.items.length - 1);
    }

    /** Removes an item; false when it is not in the heap. */
    remove(item: Item): boolean {
        const index = this.indexes.get(item);
        if (index === undefined) return false;
        const last = this.items.pop()!;
        this.indexes.delete(item);
        this.insertionNumbers.delete(item);
        if (last === item) return true;
        this.items[index] = last;
        this.indexes.set(last, index);
        this.update(last);
        return true;
    }

    /** Restores the heap order after an item's sort key has changed. */
    update(item: Item): void {
        const index = this.indexes.get(item);
        if (index === undefined) return;
        this.moveUp(index);
        this.moveDown(this.indexes.get(item)!);
    }

    private moveUp(from: number): void {
        let index = from;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.comesBefore(this.items[index], this.items[parent])) return;
            this.swap(index, parent);
            index = parent;
        }
    }

    private moveDown(from: number): void {
        let index = from;
        for (;;) {
            let next = index;
            for (const child of [2 * index + 1, 2 * index + 2]) {
                if (child < this.items.length && this.comesBefore(this.items[child], this.items[next])) next = child;
            }
            if (next === index) return;
            this.swap(index, next);
            index = next;
        }
    }

    private comesBefore(a: Item, b: Item): boolean {
        if (this.isBefore(a, b)) return true;
        return !this.isBefore(b, a) && this.insertionNumbers.get(a)! < this.insertionNumbers.get(b)!;
    }

    private swap(a: number, b: number): void {
        [this.items[a], this.items[b]] = [this.items[b], this.items[a]];
        this.indexes.set(this.items[a], a);
        this.indexes.set(this.items[b], b);
    }
}
