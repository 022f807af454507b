import { Address, Clock, Listener, Network } from "../../ports/index.js";
import { PeerChannel, PeerIdentity, PeerTiming } from "../peerChannel/index.js";
import { PeerRouter } from "../peerRouter/index.js";

/** What a server of peers is made of. */
export interface PeerServerOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly address: Address;
    readonly self: PeerIdentity;
    readonly router: PeerRouter;
    readonly timing: PeerTiming;
}

/**
 * Accepts channels from peers: one task each.
 *
 * @param options - Where to listen and what to answer.
 * @returns The listener; closing it resets all its channels.
 * @throws NetworkError when the address is taken.
 * @example
 * const listener = await servePeers(options);
 */
export function servePeers(options: PeerServerOptions): Promise<Listener> {
    const { network, address, clock, self, router, timing } = options;
    return network.listen(address, connection => {
        void new PeerChannel({ connection, clock, self, router, timing }).run();
    });
}
