/** An unbounded queue between one writer and one reader; the reader waits while it is empty. */
export class Mailbox<Item> {
    private readonly items: Item[] = [];
    private waiting: ((item: Item | undefined) => void) | undefined;
    private ended = false;

    put(item: Item): void {
        if (this.ended) return;
        if (this.waiting) {
            const wake = this.waiting;
            this.waiting = undefined;
            wake(item);
            return;
        }
        this.items.push(item);
    }

    end(): void {
        this.ended = true;
        this.waiting?.(undefined);
        this.waiting = undefined;
    }

    take(): Promise<Item | undefined> {
        if (this.items.length > 0) return Promise.resolve(this.items.shift());
        if (this.ended) return Promise.resolve(undefined);
        return new Promise(resolve => {
            this.waiting = resolve;
        });
    }
}
