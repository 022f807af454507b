import { HostId } from "../../ids/index.js";
import { UsageBatchCommand } from "../../usage/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { BATCH_BACKUP_METHODS, UsageBatchId } from "../backupBatchStore/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";
import { BatchBackup } from "../usageMeter/index.js";

/** Timeout of one attempt to store a batch on another entry, in milliseconds. */
const HOLD_TIMEOUT_MS = 250;
const MAX_HOLD_ATTEMPTS = 2;

/**
 * Backs this entry's usage batches up on another entry: the next one in the order of host names, so that the load is spread evenly.
 *
 * @example
 * const held = await backup.hold(batch);
 */
export class PeerBatchBackup extends BatchBackup {
    /** By sequence number, the host that holds the batch. */
    private readonly backupHosts = new Map<number, HostId>();

    constructor(private readonly directory: PeerDirectory, private readonly self: PeerIdentity) {
        super();
    }

    async hold(batch: UsageBatchCommand): Promise<boolean> {
        for (let i = 0; i < MAX_HOLD_ATTEMPTS; i++) {
            const host = this.nextHost();
            const link = host && this.directory.linkTo(host);
            if (!host || !link) return false;
            const result = await link.call(BATCH_BACKUP_METHODS.hold, batch, HOLD_TIMEOUT_MS);
            if (result.isRight()) {
                this.backupHosts.set(batch.sequence, host);
                return true;
            }
            this.directory.suspect(host);
        }
        return false;
    }

    release(sequence: number): void {
        const host = this.backupHosts.get(sequence);
        if (!host) return;
        this.backupHosts.delete(sequence);
        const release: UsageBatchId = { ...this.self, sequence };
        this.directory.linkTo(host)?.notify(BATCH_BACKUP_METHODS.release, release);
    }

    private nextHost(): HostId | undefined {
        const hosts = [...this.directory.callerHosts()].sort();
        const next = hosts[(hosts.indexOf(this.self.host) + 1) % hosts.length];
        return next === this.self.host ? undefined : next;
    }
}
