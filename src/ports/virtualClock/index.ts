import { Clock, Timer } from "../clock/index.js";

/** A scheduled callback, with its due time in milliseconds and its creation order. */
interface PendingCall {
    readonly dueMs: number;
    readonly sequence: number;
    readonly callback: () => void;
}

/** Wall time at virtual time 0: 2026-12-01T00:00:00Z. */
const VIRTUAL_EPOCH_MS = Date.UTC(2026, 11, 1);

/**
 * Clock for tests whose time moves only on request. Callbacks run in the order of their due time, then of their creation, so
 * that runs with equal seeds are equal.
 *
 * @example
 * const clock = new VirtualClock();
 * await clock.advance(1_000);
 */
export class VirtualClock extends Clock {
    private readonly heap: PendingCall[] = [];
    private readonly cancelled = new Set<PendingCall>();
    private nowMs = 0;
    private nextSequence = 0;

    now(): number {
        return VIRTUAL_EPOCH_MS + this.nowMs;
    }

    monotonic(): number {
        return this.nowMs;
    }

    after(ms: number, callback: () => void): Timer {
        const call: PendingCall = { dueMs: this.nowMs + Math.max(0, ms), sequence: this.nextSequence++, callback };
        pushCall(this.heap, call);
        return { cancel: () => this.cancelled.add(call) };
    }

    /**
     * Advances time, running due callbacks and the promise reactions that follow from them.
     *
     * @param ms - The duration, in milliseconds.
     */
    async advance(ms: number): Promise<void> {
        const endMs = this.nowMs + ms;
        await drainPromises();
        while (this.heap.length > 0 && this.heap[0].dueMs <= endMs) {
            this.nowMs = this.heap[0].dueMs;
            this.runDue();
            await drainPromises();
        }
        this.nowMs = endMs;
    }

    /**
     * Advances time until a promise settles.
     *
     * @param work - The promise to wait for.
     * @param limitMs - Maximum time to advance, in milliseconds.
     * @returns The value of the promise.
     * @throws Error if the promise does not settle within the limit.
     */
    async runUntil<Value>(work: Promise<Value>, limitMs: number): Promise<Value> {
        let isSettled = false;
        const markSettled = (): void => {
            isSettled = true;
        };
        work.then(markSettled, markSettled);
        const endMs = this.nowMs + limitMs;
        await drainPromises();
        while (!isSettled && this.heap.length > 0 && this.heap[0].dueMs <= endMs) {
            this.nowMs = this.heap[0].dueMs;
            this.runDue();
            await drainPromises();
        }
        if (!isSettled) throw new Error(`not settled within ${limitMs} ms of virtual time`);
        return work;
    }

    private runDue(): void {
        while (this.heap.length > 0 && this.heap[0].dueMs <= this.nowMs) {
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
    return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.sequence < b.sequence);
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
