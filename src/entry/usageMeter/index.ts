import { WindowStart } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { UsageLine } from "../../protocol/index.js";
import { HoldLimits, PositionCounter, UsageBatchCommand, UsageChanges, UsageSum } from "../../usage/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { UsageReplicator, UsageSource } from "../usageReplicator/index.js";

/** Options of `UsageMeter`. */
export interface UsageMeterOptions {
    readonly clock: Clock;
    readonly self: PeerIdentity;
    /** Length of a usage window, in milliseconds. */
    readonly windowMs: number;
    readonly positions: PositionCounter;
    readonly replicator: Pick<UsageReplicator, "add" | "notifyChange" | "waitDurable">;
}

/** A batch, and the position of the last line in it. */
interface PositionedBatch {
    readonly position: number;
    readonly batch: UsageBatchCommand;
}

/**
 * Counts workspaces' usage in numbered batches.
 *
 * Usage is not counted twice: a batch never changes once it has its sequence number, and the control log accepts each
 * (host, incarnation, sequence) once, whichever way it comes.
 *
 * @example
 * await meter.record(line, limits);
 * sink.finish("stop", usage);
 */
export class UsageMeter implements UsageSource {
    /** Sums for the next batch, by window, workspace, pool and class. */
    private readonly openSums = new Map<string, UsageSum>();
    private openPosition = 0;
    /** Batches that are not known to be in the control log, oldest first. */
    private batches: PositionedBatch[] = [];
    private nextSequence = 1;

    constructor(private readonly options: UsageMeterOptions) {
        options.replicator.add(this);
    }

    /** Counts a line. Settles once it is durable, or when the answer must not be held any longer. */
    record(line: UsageLine, limits: HoldLimits): Promise<void> {
        const { positions, replicator } = this.options;
        this.addLine(line);
        this.openPosition = positions.next();
        replicator.notifyChange();
        return replicator.waitDurable(this.openPosition, limits);
    }

    /** Returns the start of the current usage window. */
    currentWindow(): WindowStart {
        const { clock, windowMs } = this.options;
        return (Math.floor(clock.now() / windowMs) * windowMs) as WindowStart;
    }

    /** Returns the batches with lines after a position. Closes the open batch: what is sent must not change any more. */
    listChanges(after: number): Pick<UsageChanges, "batches"> {
        if (this.openSums.size > 0) this.closeBatch();
        return { batches: this.batches.filter(({ position }) => position > after).map(({ batch }) => batch) };
    }

    dropRecorded(recorded: number): void {
        this.batches = this.batches.filter(({ position }) => position > recorded);
    }

    private addLine(line: UsageLine): void {
        const window = this.currentWindow();
        const name = `${window} ${line.workspace} ${line.pool} ${line.class}`;
        const sum = this.openSums.get(name);
        this.openSums.set(name, { window, line: sum ? addLines(sum.line, line) : line });
    }

    private closeBatch(): void {
        const { host, incarnation } = this.options.self;
        const sums = [...this.openSums.values()];
        this.openSums.clear();
        const batch = { kind: "usage.batch", host, incarnation, sequence: this.nextSequence++, sums } as const;
        this.batches.push({ position: this.openPosition, batch });
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
