import { WindowStart } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { UsageLine } from "../../protocol/index.js";
import { UsageBatchCommand, UsageSum } from "../../usage/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { ControlAccess } from "../controlAccess/index.js";

/** Backs up this entry's usage batches on another host until the control log has them. */
export abstract class BatchBackup {
    /** Sends a batch to another host; resolves to whether that host holds it. */
    abstract hold(batch: UsageBatchCommand): Promise<boolean>;

    /** Releases the backup of a batch that the control log has accepted. */
    abstract release(sequence: number): void;
}

/** Options of `UsageMeter`. */
export interface UsageMeterOptions {
    readonly clock: Clock;
    readonly self: PeerIdentity;
    /** Length of a usage window, in milliseconds. */
    readonly windowMs: number;
    readonly backup: BatchBackup;
    readonly control: ControlAccess;
    readonly logger: Logger;
}

const REPORT_INTERVAL_MS = 500;
const COMMAND_TIMEOUT_MS = 2_000;

/**
 * Counts workspaces' usage and commits each figure to the control log exactly once.
 *
 * Usage is not lost with an entry: a batch is held by another host (or is in the control log) before the last event of an answer
 * counted in it is sent, and that host submits the batch if this one has ended. Usage is not counted twice: a batch never changes
 * once it has its sequence number, and the log accepts each (host, incarnation, sequence) once, whichever host submits it.
 *
 * @example
 * await meter.record(line);
 * sink.finish("stop", usage);
 */
export class UsageMeter {
    /** Sums for the next batch, by window, workspace, pool and class. */
    private readonly openSums = new Map<string, UsageSum>();
    /** Batches not yet accepted by the control log, by sequence number. */
    private readonly uncommitted = new Map<number, UsageBatchCommand>();
    /** Callbacks of the lines in the next batch, called once it is secured. */
    private waitingForBackup: (() => void)[] = [];
    private flushing = false;
    private nextSequence = 1;

    constructor(private readonly options: UsageMeterOptions) {}

    /** Number of batches that the control log does not have yet. */
    get backlog(): number {
        return this.uncommitted.size;
    }

    /** Counts a line. Settles once the line would survive the loss of this host, or all attempts to secure it have failed. */
    record(line: UsageLine): Promise<void> {
        this.add(line);
        const held = new Promise<void>(resolve => this.waitingForBackup.push(resolve));
        void this.flush();
        return held;
    }

    /** Returns the start of the current usage window. */
    currentWindow(): WindowStart {
        const { clock, windowMs } = this.options;
        return (Math.floor(clock.now() / windowMs) * windowMs) as WindowStart;
    }

    /** Submits batches to the control log until the signal is aborted, then makes one last attempt. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(REPORT_INTERVAL_MS, signal);
            await this.report();
        }
    }

    private add(line: UsageLine): void {
        const window = this.currentWindow();
        const name = `${window} ${line.workspace} ${line.pool} ${line.class}`;
        const sum = this.openSums.get(name);
        this.openSums.set(name, { window, line: sum ? addLines(sum.line, line) : line });
    }

    /** Closes and backs up batches, one at a time; lines that arrive meanwhile go into the next batch together. */
    private async flush(): Promise<void> {
        if (this.flushing) return;
        this.flushing = true;
        while (this.openSums.size > 0) {
            const waiting = this.waitingForBackup;
            this.waitingForBackup = [];
            const batch = this.closeBatch();
            await this.backUp(batch);
            for (const resolve of waiting) resolve();
        }
        this.flushing = false;
    }

    private closeBatch(): UsageBatchCommand {
        const { host, incarnation } = this.options.self;
        const sums = [...this.openSums.values()];
        this.openSums.clear();
        const batch = { kind: "usage.batch", host, incarnation, sequence: this.nextSequence++, sums } as const;
        this.uncommitted.set(batch.sequence, batch);
        return batch;
    }

    private async backUp(batch: UsageBatchCommand): Promise<void> {
        if (await this.options.backup.hold(batch)) return;
        if (await this.submit(batch)) return;
        this.options.logger.warn("usage-unsecured", { sequence: batch.sequence });
    }

    private async report(): Promise<void> {
        const batches = [...this.uncommitted.values()];
        const results = await Promise.all(batches.map(batch => this.submit(batch)));
        const failed = results.filter(done => !done).length;
        if (failed > 0) this.options.logger.warn("usage-report-failed", { batches: failed });
    }

    private async submit(batch: UsageBatchCommand): Promise<boolean> {
        const result = await this.options.control.command(batch, COMMAND_TIMEOUT_MS);
        if (result.isLeft()) return false;
        this.uncommitted.delete(batch.sequence);
        this.options.backup.release(batch.sequence);
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
