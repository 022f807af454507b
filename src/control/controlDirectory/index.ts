import { HostId } from "../../ids/index.js";

/** Says where the holder answers operators; proposed by each holder for itself. */
export interface AnnounceHolderCommand {
    readonly kind: "holder.announce";
    readonly host: HostId;
    /** `IP:port`. */
    readonly operatorAddress: string;
}

/** Where a control host answered operators when it last held the lease. */
export interface ControlAddress {
    readonly host: HostId;
    readonly operatorAddress: string;
}

/**
 * Where the control hosts answer operators: each replica can then send an operator on to the holder, although settings name
 * only the replicas' own addresses.
 *
 * @example
 * directory.find(log.holder()!);
 */
export class ControlDirectory {
    private readonly addresses = new Map<HostId, string>();

    announce({ host, operatorAddress }: AnnounceHolderCommand): void {
        this.addresses.set(host, operatorAddress);
    }

    /** `IP:port`, or undefined when the host has not held the lease yet. */
    find(host: HostId): string | undefined {
        return this.addresses.get(host);
    }

    snapshot(): readonly ControlAddress[] {
        return [...this.addresses].map(([host, operatorAddress]) => ({ host, operatorAddress }));
    }

    restore(addresses: readonly ControlAddress[]): void {
        this.addresses.clear();
        for (const { host, operatorAddress } of addresses) this.addresses.set(host, operatorAddress);
    }
}
