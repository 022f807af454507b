import { Clock } from "../../ports/index.js";
import { UsageBatchCommand } from "../../usage/index.js";
import { PeerRouter } from "../../wire/index.js";
import { ControlAccess } from "../controlAccess/index.js";

/** Peer methods with which an entry backs its usage batches up on another entry. */
export const BATCH_BACKUP_METHODS = { hold: "usage.hold", release: "usage.release" } as const;

/** Identifies a usage batch: the process that made it and its sequence number. */
export interface UsageBatchId {
    readonly host: string;
    readonly incarnation: string;
    readonly sequence: number;
}

/** A batch held for another entry. */
interface HeldBatch {
    readonly batch: UsageBatchCommand;
    /** Monotonic time, in milliseconds. */
    readonly heldAt: number;
}

/** A batch that has not been released for this long is submitted to the control log: its host has most likely ended. */
const SUBMIT_AFTER_MS = 5_000;
const CHECK_INTERVAL_MS = 1_000;
const COMMAND_TIMEOUT_MS = 2_000;

/**
 * Holds backups of other entries' usage batches, and submits those that are not released in time. Submitting a batch twice is
 * harmless, so an entry that is merely cut off from this one needs no special treatment.
 *
 * @example
 * new BackupBatchStore(clock, control).addTo(router);
 */
export class BackupBatchStore {
    private readonly held = new Map<string, HeldBatch>();

    constructor(private readonly clock: Clock, private readonly control: ControlAccess) {}

    get size(): number {
        return this.held.size;
    }

    /** Registers the methods with which other entries store and release batches. */
    addTo(router: PeerRouter): void {
        router.add(BATCH_BACKUP_METHODS.hold, body => {
            const batch = body as UsageBatchCommand;
            this.held.set(formatBatchId(batch), { batch, heldAt: this.clock.monotonic() });
            return true;
        });
        router.add(BATCH_BACKUP_METHODS.release, body => {
            this.held.delete(formatBatchId(body as UsageBatchId));
        });
    }

    /** Submits overdue batches until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleepToTick(CHECK_INTERVAL_MS, signal);
            await this.submitOverdue();
        }
    }

    private async submitOverdue(): Promise<void> {
        const now = this.clock.monotonic();
        for (const [name, { batch, heldAt }] of this.held) {
            if (now - heldAt < SUBMIT_AFTER_MS) continue;
            const result = await this.control.command(batch, COMMAND_TIMEOUT_MS);
            if (result.isRight()) this.held.delete(name);
        }
    }
}

function formatBatchId({ host, incarnation, sequence }: UsageBatchId): string {
    return `${host} ${incarnation} ${sequence}`;
}
