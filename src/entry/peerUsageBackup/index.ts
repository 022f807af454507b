import { HostId } from "../../ids/index.js";
import { UsageReport } from "../../usage/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";
import { USAGE_BACKUP_METHODS, UsageRelease } from "../usageBackupStore/index.js";
import { UsageBackup } from "../usageReplicator/index.js";

/** Timeout of one attempt to store a report on another entry, in milliseconds. */
const HOLD_TIMEOUT_MS = 250;
const MAX_HOLD_ATTEMPTS = 2;

/**
 * Backs this entry's usage up on another entry: the next one in the order of host names, so that the load is spread evenly.
 *
 * @example
 * const isHeld = await backup.hold(report);
 */
export class PeerUsageBackup extends UsageBackup {
    /** Hosts that may hold a report of this run. */
    private readonly backupHosts = new Set<HostId>();

    constructor(private readonly directory: PeerDirectory, private readonly self: PeerIdentity) {
        super();
    }

    async hold(report: UsageReport): Promise<boolean> {
        for (let i = 0; i < MAX_HOLD_ATTEMPTS; i++) {
            const host = this.nextHost();
            const link = host && this.directory.linkTo(host);
            if (!host || !link) return false;
            this.backupHosts.add(host);
            const result = await link.call(USAGE_BACKUP_METHODS.hold, report, HOLD_TIMEOUT_MS);
            if (result.isRight()) return true;
            this.directory.suspect(host);
        }
        return false;
    }

    release(position: number): void {
        const release: UsageRelease = { ...this.self, position };
        for (const host of this.backupHosts) {
            this.directory.linkTo(host)?.notify(USAGE_BACKUP_METHODS.release, release);
        }
        this.backupHosts.clear();
    }

    private nextHost(): HostId | undefined {
        const hosts = [...this.directory.callerHosts()].sort();
        const next = hosts[(hosts.indexOf(this.self.host) + 1) % hosts.length];
        return next === this.self.host ? undefined : next;
    }
}
