/** A binary heap from which any item can be taken out in logarithmic time. Equal items keep the order they came in. */
export class Heap<Item> {
    private readonly items: Item[] = [];
    private readonly places = new Map<Item, number>();
    private readonly arrivals = new Map<Item, number>();
    private nextArrival = 0;

    /** @param isBefore - Whether the first comes before the second. */
    constructor(private readonly isBefore: (a: Item, b: Item) => boolean) {}

    get size(): number {
        return this.items.length;
    }

    get first(): Item | undefined {
        return this.items[0];
    }

    /** The items, in no order. */
    values(): readonly Item[] {
        return this.items;
    }

    has(item: Item): boolean {
        return this.places.has(item);
    }

    add(item: Item): void {
        this.items.push(item);
        this.places.set(item, this.items.length - 1);
        this.arrivals.set(item, this.nextArrival++);
        this.moveUp(this.items.length - 1);
    }

    /** Takes an item out. */
    remove(item: Item): boolean {
        const place = this.places.get(item);
        if (place === undefined) return false;
        const last = this.items.pop()!;
        this.places.delete(item);
        this.arrivals.delete(item);
        if (last === item) return true;
        this.items[place] = last;
        this.places.set(last, place);
        this.update(last);
        return true;
    }

    /** Moves an item whose place in the order has changed. */
    update(item: Item): void {
        const place = this.places.get(item);
        if (place === undefined) return;
        this.moveUp(place);
        this.moveDown(this.places.get(item)!);
    }

    private moveUp(from: number): void {
        let place = from;
        while (place > 0) {
            const parent = (place - 1) >> 1;
            if (!this.comesBefore(this.items[place], this.items[parent])) return;
            this.swap(place, parent);
            place = parent;
        }
    }

    private moveDown(from: number): void {
        let place = from;
        for (;;) {
            let next = place;
            for (const child of [2 * place + 1, 2 * place + 2]) {
                if (child < this.items.length && this.comesBefore(this.items[child], this.items[next])) next = child;
            }
            if (next === place) return;
            this.swap(place, next);
            place = next;
        }
    }

    private comesBefore(a: Item, b: Item): boolean {
        if (this.isBefore(a, b)) return true;
        return !this.isBefore(b, a) && this.arrivals.get(a)! < this.arrivals.get(b)!;
    }

    private swap(a: number, b: number): void {
        [this.items[a], this.items[b]] = [this.items[b], this.items[a]];
        this.places.set(this.items[a], a);
        this.places.set(this.items[b], b);
    }
}
