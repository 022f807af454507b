import { Clock } from "../../ports/index.js";
import { Batch, EngineTiming, Sequence } from "../batch/index.js";

/** Options of a `CallEngine`. */
export interface CallEngineOptions {
    /** Slots, memory and step durations. */
    readonly timing: EngineTiming;
    /** Number of requests that may wait for a slot; further ones are turned away. */
    readonly queue: number;
    /** Tokens per event of a stream. */
    readonly eventTokens: number;
}

/** A request as an engine sees it. */
export interface EngineRequest {
    readonly request: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly promptTokens: number;
    /** Returns the number of prompt tokens in the engine's cache. */
    readonly countCached: () => number;
    /** Length of the answer, in tokens. */
    readonly answerTokens: number;
}

/** A request that lost its slot, or its memory, while others stayed. */
export interface EnginePreemption {
    readonly request: string;
    /** Monotonic time, in milliseconds. */
    readonly at: number;
    /** Ids of the requests that stayed. */
    readonly others: readonly string[];
}

/** What an engine did with a request. */
export interface EngineRun {
    readonly request: string;
    /** Monotonic time of its arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Monotonic times of its events, in milliseconds. */
    readonly eventsAt: number[];
}

/**
 * Emulates what an engine does with routed calls: continuous batching, a waiting list ordered by priority, and memory that may run out
 * before the slots do.
 *
 * @example
 * const engine = new CallEngine(clock, options);
 * await engine.run(request, event => send(event), closed);
 */
export class CallEngine {
    /** The requests that it took, in order. */
    readonly runs: EngineRun[] = [];
    readonly preemptions: EnginePreemption[] = [];
    private readonly batch: Batch;
    private readonly stopped = new AbortController();
    /** Functions that end the requests under way. */
    private readonly leaving = new Set<() => void>();

    constructor(private readonly clock: Clock, private readonly options: CallEngineOptions) {
        this.batch = new Batch(clock, options.timing);
        void this.batch.run(this.stopped.signal);
    }

    get runningCount(): number {
        return this.batch.runningCount;
    }

    get waitingCount(): number {
        return this.batch.waitingCount;
    }

    /** Whether it turns further requests away. */
    get isFull(): boolean {
        const { queue, timing: { slots } } = this.options;
        return this.batch.waitingCount >= queue && this.batch.runningCount >= slots;
    }

    /**
     * Runs a request until its answer is complete.
     *
     * @param onEvent - Called with the number of each event, counted from 1.
     * @param closed - Aborted when the caller leaves.
     * @returns Whether the answer is complete.
     */
    run(req: EngineRequest, onEvent: (number: number) => void, closed: AbortSignal): Promise<boolean> {
        const { clock } = this;
        const run: EngineRun = { request: req.request, arrivedAt: clock.monotonic(), eventsAt: [] };
        this.runs.push(run);
        return new Promise(resolve => {
            const sequence = new CallSequence(req, {
                eventTokens: this.options.eventTokens,
                onEvent: number => {
                    run.eventsAt.push(clock.monotonic());
                    onEvent(number);
                },
                onPreempted: others => this.preemptions.push({ request: req.request, at: clock.monotonic(), others }),
                onEnd: () => {
                    this.leaving.delete(leave);
                    resolve(true);
                },
            });
            const leave = (): void => {
                this.batch.remove(sequence);
                this.leaving.delete(leave);
                resolve(false);
            };
            closed.addEventListener("abort", leave, { once: true });
            this.leaving.add(leave);
            this.batch.add(sequence);
        });
    }

    /** Stops all requests; no further ones run. */
    stop(): void {
        this.stopped.abort();
        for (const leave of [...this.leaving]) leave();
    }
}

interface CallSequenceEvents {
    readonly eventTokens: number;
    readonly onEvent: (number: number) => void;
    /** Called with the ids of the requests that stay. */
    readonly onPreempted: (others: readonly string[]) => void;
    readonly onEnd: () => void;
}

/** A routed call in an engine's batch. */
class CallSequence extends Sequence {
    private emittedTokens = 0;
    private emittedEvents = 0;

    constructor(readonly req: EngineRequest, private readonly events: CallSequenceEvents) {
        super(req.priority);
    }

    override get memoryTokens(): number {
        return this.req.promptTokens + this.emittedTokens;
    }

    override recordPreemption(others: readonly Sequence[]): void {
        this.events.onPreempted(others.map(other => (other as CallSequence).req.request));
    }

    startPrefill(): number {
        const { promptTokens, countCached } = this.req;
        return Math.max(0, promptTokens - countCached()) + this.emittedTokens;
    }

    emitToken(): boolean {
        const { eventTokens, onEvent, onEnd } = this.events;
        this.emittedTokens++;
        const isLast = this.emittedTokens >= this.req.answerTokens;
        if (isLast || this.emittedTokens % eventTokens === 0) onEvent(++this.emittedEvents);
        if (isLast) onEnd();
        return isLast;
    }
}
