/** Over this time the load is averaged, in milliseconds: two thirds of a burst are seen after it, and new upstreams need seconds to start. */
const LOAD_MEMORY_MS = 3_000;

/** How many upstreams' time the prompts of the last seconds take to read. */
export class ReadingLoad {
    /** Milliseconds of reading in a millisecond, averaged. */
    private load = 0;
    private loadAt = 0;

    /** Adds a prompt that takes so long to read; monotonic, in milliseconds. */
    add(readMs: number, now: number): void {
        this.load = this.read(now) + readMs / LOAD_MEMORY_MS;
        this.loadAt = now;
    }

    /** The load at a moment, in upstreams that do nothing else. */
    read(now: number): number {
        return this.load * Math.exp((this.loadAt - now) / LOAD_MEMORY_MS);
    }
}
