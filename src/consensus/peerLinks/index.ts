import { Either } from "purify-ts";
import { Lifecycle } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Address, Clock, formatAddress, Network, Random } from "../../ports/index.js";
import { PeerError, PeerIdentity, PeerLink, PeerRouter, PeerTiming } from "../../wire/index.js";

/** Options of the links. */
export interface PeerLinksOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly random: Random;
    readonly self: PeerIdentity;
    readonly router: PeerRouter;
    readonly timing: PeerTiming;
    readonly logger: Logger;
}

/**
 * Pool of links to peers, one for each address. A link is opened on first use and kept until the log closes.
 *
 * @example
 * const reply = await links.call(member.address, RpcMethod.Vote, request, 1_000);
 */
export class PeerLinks {
    private readonly links = new Map<string, PeerLink>();

    constructor(private readonly options: PeerLinksOptions, private readonly lifecycle: Lifecycle) {}

    /** Returns the link to an address and opens it on first use. */
    linkTo(address: Address): PeerLink {
        const name = formatAddress(address);
        const found = this.links.get(name);
        if (found) return found;
        const link = new PeerLink({ ...this.options, address });
        this.links.set(name, link);
        // Each link has its own abort signal, since a hundred listeners on one signal would look like a listener leak.
        this.lifecycle.child().run(
            signal => link.run(signal),
            err => this.options.logger.error("peer-link-failed", { address: name, error: String(err) }),
        );
        return link;
    }

    /** Calls a method of the process at an address. */
    call<Reply>(
        address: Address,
        method: string,
        body: unknown,
        timeoutMs: number,
    ): Promise<Either<PeerError, Reply>> {
        return this.linkTo(address).call(method, body, timeoutMs) as Promise<Either<PeerError, Reply>>;
    }
}
