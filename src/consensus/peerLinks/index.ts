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

/** A link to an address that is not wanted is closed once it has not been used for this long, in milliseconds. */
const MAX_IDLE_MS = 10_000;

interface PooledLink {
    readonly link: PeerLink;
    readonly lifecycle: Lifecycle;
    /** Monotonic time of the last use, in milliseconds. */
    usedAt: number;
}

/**
 * Pool of links to peers, one for each address. A link is opened on first use, and kept while its address is wanted or it is used.
 *
 * @example
 * const reply = await links.call(member.address, RpcMethod.Vote, request, 1_000);
 */
export class PeerLinks {
    private readonly pool = new Map<string, PooledLink>();

    constructor(private readonly options: PeerLinksOptions, private readonly lifecycle: Lifecycle) {}

    /** Returns the link to an address and opens it on first use. */
    linkTo(address: Address): PeerLink {
        const name = formatAddress(address);
        const pooled = this.pool.get(name) ?? this.open(name, address);
        pooled.usedAt = this.options.clock.monotonic();
        return pooled.link;
    }

    /** Keeps links to these addresses open, and closes others that are idle. */
    retain(wanted: readonly Address[]): void {
        for (const address of wanted) this.linkTo(address);
        const oldestUse = this.options.clock.monotonic() - MAX_IDLE_MS;
        for (const [name, { lifecycle, usedAt }] of [...this.pool]) {
            if (usedAt >= oldestUse) continue;
            this.pool.delete(name);
            void lifecycle.close();
        }
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

    private open(name: string, address: Address): PooledLink {
        const link = new PeerLink({ ...this.options, address });
        // Each link has its own abort signal, since a hundred listeners on one signal would look like a listener leak.
        const lifecycle = this.lifecycle.child();
        lifecycle.run(
            signal => link.run(signal),
            err => this.options.logger.error("peer-link-failed", { address: name, error: String(err) }),
        );
        const pooled = { link, lifecycle, usedAt: 0 };
        this.pool.set(name, pooled);
        return pooled;
    }
}
