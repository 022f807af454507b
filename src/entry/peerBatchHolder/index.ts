import { HostId } from "../../ids/index.js";
import { UsageBatchCommand } from "../../usage/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";
import { USAGE_METHODS, UsageRelease } from "../usageKeeper/index.js";
import { BatchHolder } from "../usageMeter/index.js";

const HOLD_TIMEOUT_MS = 250;
const HOLD_TRIES = 2;

/**
 * Keeps this entry's batches on another entry: the next one in the order of names, so that the load is spread evenly.
 *
 * @example
 * const held = await holder.hold(batch);
 */
export class PeerBatchHolder extends BatchHolder {
    private readonly holders = new Map<number, HostId>();

    constructor(private readonly directory: PeerDirectory, private readonly self: PeerIdentity) {
        super();
    }

    async hold(batch: UsageBatchCommand): Promise<boolean> {
        for (let i = 0; i < HOLD_TRIES; i++) {
            const host = this.nextHost();
            const link = host && this.directory.linkTo(host);
            if (!host || !link) return false;
            const result = await link.call(USAGE_METHODS.hold, batch, HOLD_TIMEOUT_MS);
            if (result.isRight()) {
                this.holders.set(batch.sequence, host);
                return true;
            }
            this.directory.suspect(host);
        }
        return false;
    }

    release(sequence: number): void {
        const host = this.holders.get(sequence);
        if (!host) return;
        this.holders.delete(sequence);
        const release: UsageRelease = { ...this.self, sequence };
        this.directory.linkTo(host)?.notify(USAGE_METHODS.release, release);
    }

    private nextHost(): HostId | undefined {
        const hosts = [...this.directory.callerHosts()].sort();
        const next = hosts[(hosts.indexOf(this.self.host) + 1) % hosts.length];
        return next === this.self.host ? undefined : next;
    }
}
