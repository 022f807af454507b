import { HostId, ZoneId } from "../../ids/index.js";
import { Address } from "../../ports/index.js";

/** A host that sends requests to upstreams for hosts that do not reach them. */
export interface RelayHost {
    readonly host: HostId;
    readonly zone: ZoneId;
    /** Address at which it accepts requests to relay. */
    readonly address: Address;
}

/** The hosts of the fleet, as far as relaying needs to know them. */
export abstract class RelayDirectory {
    /** Lists the other hosts that relay requests. */
    abstract listRelays(): readonly RelayHost[];

    /**
     * Whether an IP address is that of a host of the fleet.
     *
     * @param ip - For example `10.0.0.1`.
     */
    abstract isMember(ip: string): boolean;
}
