import { HostId } from "../../ids/index.js";

/** Announces the address of the holder's operators' API; proposed by each holder for itself. */
export interface AnnounceHolderCommand {
    readonly kind: "holder.announce";
    readonly host: HostId;
    /** `IP:port`. */
    readonly operatorAddress: string;
}

/** Address of a control host's operators' API when it last held the lease. */
export interface ControlAddress {
    readonly host: HostId;
    readonly operatorAddress: string;
}

/**
 * Addresses of the control hosts' operators' APIs. With them each replica can redirect an operator to the holder, although settings list
 * only the replicas' own addresses.
 *
 * @example
 * directory.find(log.holder()!);
 */
export class ControlDirectory {
    private readonly addresses = new Map<HostId, string>();

    /** Applies a holder's announcement. */
    announce({ host, operatorAddress }: AnnounceHolderCommand): void {
        this.addresses.set(host, operatorAddress);
    }

    /** Returns the `IP:port` of a host's operators' API; undefined when the host has not held the lease yet. */
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
