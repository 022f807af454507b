/** Unbounded queue with a single reader, which waits while the queue is empty. */
export class Mailbox<Item> {
    private readonly items: Item[] = [];
    private waitingReader: ((item: Item | undefined) => void) | undefined;
    private ended = false;

    /** Appends an item, or passes it to the waiting reader; ignored after `end`. */
    put(item: Item): void {
        if (this.ended) return;
        if (this.waitingReader) {
            const resume = this.waitingReader;
            this.waitingReader = undefined;
            resume(item);
            return;
        }
        this.items.push(item);
    }

    /** Closes the queue; items that are still queued can be taken. */
    end(): void {
        this.ended = true;
        this.waitingReader?.(undefined);
        this.waitingReader = undefined;
    }

    /** Removes the next item; resolves with undefined once the queue is closed and empty. */
    take(): Promise<Item | undefined> {
        if (this.items.length > 0) return Promise.resolve(this.items.shift());
        if (this.ended) return Promise.resolve(undefined);
        return new Promise(resolve => {
            this.waitingReader = resolve;
        });
    }
}
