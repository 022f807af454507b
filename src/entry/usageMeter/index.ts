import { WindowStart } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { UsageLine } from "../../protocol/index.js";
import { UsageBatchCommand, UsageSum } from "../../usage/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { ControlAccess } from "../controlAccess/index.js";

/** Keeps batches of this entry on another host until the control log has them. */
export abstract class BatchHolder {
    /** Hands over a batch; true once another host holds it. */
    abstract hold(batch: UsageBatchCommand): Promise<boolean>;

    /** Tells the holder that the control log has the batch. */
    abstract release(sequence: number): void;
}

/** What a meter is made of. */
export interface UsageMeterOptions {
    readonly clock: Clock;
    readonly self: PeerIdentity;
    readonly windowMs: number;
    readonly holder: BatchHolder;
    readonly control: ControlAccess;
    readonly logger: Logger;
}

const REPORT_PAUSE_MS = 500;
const COMMAND_TIMEOUT_MS = 2_000;

/**
 * Counts what workspaces use, and brings each figure to the control log exactly once.
 *
 * Guards against usage lost with an entry: a batch is on another host (or in the control log) before the last event of an
 * answer in it goes out, and that host hands it in when this one has ended. Guards against usage counted twice: a batch
 * never changes once it has its sequence number, and the log takes in each (host, incarnation, sequence) once, whoever
 * hands it in.
 *
 * @example
 * await meter.record(line);
 * sink.finish("stop", usage);
 */
export class UsageMeter {
    private readonly open = new Map<string, UsageSum>();
    private readonly unreported = new Map<number, UsageBatchCommand>();
    private waiting: (() => void)[] = [];
    private flushing = false;
    private nextSequence = 1;

    constructor(private readonly options: UsageMeterOptions) {}

    /** How many batches the control log does not have yet. */
    get backlog(): number {
        return this.unreported.size;
    }

    /** Counts a line. Settles once it would outlive this host, or all ways to that have failed. */
    record(line: UsageLine): Promise<void> {
        this.add(line);
        const held = new Promise<void>(resolve => this.waiting.push(resolve));
        void this.flush();
        return held;
    }

    /** The usage window of this moment. */
    presentWindow(): WindowStart {
        const { clock, windowMs } = this.options;
        return (Math.floor(clock.now() / windowMs) * windowMs) as WindowStart;
    }

    /** Hands batches to the control log until the signal is aborted, then tries once more. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(REPORT_PAUSE_MS, signal);
            await this.report();
        }
    }

    private add(line: UsageLine): void {
        const window = this.presentWindow();
        const name = `${window} ${line.workspace} ${line.pool} ${line.class}`;
        const sum = this.open.get(name);
        this.open.set(name, { window, line: sum ? addLines(sum.line, line) : line });
    }

    /** One flush at a time: what comes meanwhile goes together into the next batch. */
    private async flush(): Promise<void> {
        if (this.flushing) return;
        this.flushing = true;
        while (this.open.size > 0) {
            const waiting = this.waiting;
            this.waiting = [];
            const batch = this.closeBatch();
            await this.secure(batch);
            for (const resolve of waiting) resolve();
        }
        this.flushing = false;
    }

    private closeBatch(): UsageBatchCommand {
        const { host, incarnation } = this.options.self;
        const sums = [...this.open.values()];
        this.open.clear();
        const batch = { kind: "usage.batch", host, incarnation, sequence: this.nextSequence++, sums } as const;
        this.unreported.set(batch.sequence, batch);
        return batch;
    }

    private async secure(batch: UsageBatchCommand): Promise<void> {
        if (await this.options.holder.hold(batch)) return;
        if (await this.handIn(batch)) return;
        this.options.logger.warn("usage-unsecured", { sequence: batch.sequence });
    }

    private async report(): Promise<void> {
        const batches = [...this.unreported.values()];
        const results = await Promise.all(batches.map(batch => this.handIn(batch)));
        const failed = results.filter(done => !done).length;
        if (failed > 0) this.options.logger.warn("usage-report-failed", { batches: failed });
    }

    private async handIn(batch: UsageBatchCommand): Promise<boolean> {
        const result = await this.options.control.command(batch, COMMAND_TIMEOUT_MS);
        if (result.isLeft()) return false;
        this.unreported.delete(batch.sequence);
        this.options.holder.release(batch.sequence);
        return true;
    }
}

function addLines(a: UsageLine, b: UsageLine): UsageLine {
    return {
        ...a,
        requests: a.requests + b.requests,
        prompt_tokens: a.prompt_tokens + b.prompt_tokens,
        completion_tokens: a.completion_tokens + b.completion_tokens,
    };
}
