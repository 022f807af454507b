import { Either } from "purify-ts";
import { Lifecycle } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Address, Clock, formatAddress, Network, Random } from "../../ports/index.js";
import { PeerError, PeerIdentity, PeerLink, PeerRouter, PeerTiming } from "../../wire/index.js";

/** What the links are made of. */
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
 * One link for each address that the log talks to, opened when it is first used and kept to the end.
 *
 * @example
 * const reply = await links.call(member.address, Method.Vote, request, 1_000);
 */
export class PeerLinks {
    private readonly links = new Map<string, PeerLink>();

    constructor(private readonly options: PeerLinksOptions, private readonly lifecycle: Lifecycle) {}

    /** The link to an address. */
    to(address: Address): PeerLink {
        const name = formatAddress(address);
        const found = this.links.get(name);
        if (found) return found;
        const link = new PeerLink({ ...this.options, address });
        this.links.set(name, link);
        // A signal of its own: a hundred links on one would look like a leak of listeners.
        this.lifecycle.child().run(
            signal => link.run(signal),
            err => this.options.logger.error("peer-link-failed", { address: name, error: String(err) }),
        );
        return link;
    }

    /** Asks the process at an address. */
    call<Reply>(
        address: Address,
        method: string,
        body: unknown,
        timeoutMs: number,
    ): Promise<Either<PeerError, Reply>> {
        return this.to(address).call(method, body, timeoutMs) as Promise<Either<PeerError, Reply>>;
    }
}
