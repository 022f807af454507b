import { Clock, Timer } from "../clock/index.js";

interface PendingCall {
    readonly at: number;
    readonly order: number;
    readonly callback: () => void;
}

/** Where wall time starts in virtual time: 2026-12-01T00:00:00Z. */
const VIRTUAL_EPOCH_MS = Date.UTC(2026, 11, 1);

/**
 * Time that moves only when a test says so. Calls run in the order of their time, then of their creation, so that a
 * seed gives the same run each time.
 *
 * @example
 * const clock = new VirtualClock();
 * await clock.advance(1_000);
 */
export class VirtualClock extends Clock {
    private readonly heap: PendingCall[] = [];
    private readonly cancelled = new Set<PendingCall>();
    private time = 0;
    private nextOrder = 0;

    now(): number {
        return VIRTUAL_EPOCH_MS + this.time;
    }

    monotonic(): number {
        return this.time;
    }

    after(ms: number, callback: () => void): Timer {
        const call: PendingCall = { at: this.time + Math.max(0, ms), order: this.nextOrder++, callback };
        pushCall(this.heap, call);
        return { cancel: () => this.cancelled.add(call) };
    }

    /**
     * Moves time on, running what falls due and all promise work that follows from it.
     *
     * @param ms - How far, in milliseconds.
     */
    async advance(ms: number): Promise<void> {
        const end = this.time + ms;
        await drainPromises();
        while (this.heap.length > 0 && this.heap[0].at <= end) {
            this.time = this.heap[0].at;
            this.runDue();
            await drainPromises();
        }
        this.time = end;
    }

    /**
     * Moves time on until the promise settles.
     *
     * @param work - The promise to wait for.
     * @param limitMs - The most time to let pass.
     * @returns What the promise gave.
     * @throws Error when the promise has not settled within the limit.
     */
    async runUntil<Value>(work: Promise<Value>, limitMs: number): Promise<Value> {
        let settled = false;
        const mark = (): void => {
            settled = true;
        };
        work.then(mark, mark);
        const end = this.time + limitMs;
        await drainPromises();
        while (!settled && this.heap.length > 0 && this.heap[0].at <= end) {
            this.time = this.heap[0].at;
            this.runDue();
            await drainPromises();
        }
        if (!settled) throw new Error(`not settled within ${limitMs} ms of virtual time`);
        return work;
    }

    private runDue(): void {
        while (this.heap.length > 0 && this.heap[0].at <= this.time) {
            const call = popCall(this.heap);
            if (this.cancelled.delete(call)) continue;
            call.callback();
        }
    }
}

function drainPromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

function isBefore(a: PendingCall, b: PendingCall): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function pushCall(heap: PendingCall[], call: PendingCall): void {
    heap.push(call);
    let child = heap.length - 1;
    while (child > 0) {
        const parent = (child - 1) >> 1;
        if (!isBefore(heap[child], heap[parent])) return;
        [heap[child], heap[parent]] = [heap[parent], heap[child]];
        child = parent;
    }
}

function popCall(heap: PendingCall[]): PendingCall {
    const first = heap[0];
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    heap[0] = last;
    let parent = 0;
    for (;;) {
        let smallest = parent;
        for (const child of [2 * parent + 1, 2 * parent + 2]) {
            if (child < heap.length && isBefore(heap[child], heap[smallest])) smallest = child;
        }
        if (smallest === parent) return first;
        [heap[parent], heap[smallest]] = [heap[smallest], heap[parent]];
        parent = smallest;
    }
}
