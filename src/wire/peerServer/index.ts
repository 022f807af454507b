import { Address, Clock, Listener, Network } from "../../ports/index.js";
import { PeerChannel, PeerIdentity, PeerTiming } from "../peerChannel/index.js";
import { PeerRouter } from "../peerRouter/index.js";

/** Options of a peer server. */
export interface PeerServerOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly address: Address;
    readonly self: PeerIdentity;
    readonly router: PeerRouter;
    readonly timing: PeerTiming;
}

/**
 * Accepts channels from peers and runs each in its own task.
 *
 * @param options - Address to listen on, and the methods to provide.
 * @returns The listener. Closing it resets all its channels.
 * @throws NetworkError when the address is in use.
 * @example
 * const listener = await servePeers(options);
 */
export function servePeers(options: PeerServerOptions): Promise<Listener> {
    const { network, address, clock, self, router, timing } = options;
    return network.listen(address, connection => {
        void new PeerChannel({ connection, clock, self, router, timing }).run();
    });
}
