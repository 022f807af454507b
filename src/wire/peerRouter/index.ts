import type { PeerChannel } from "../peerChannel/index.js";
import { PeerTraffic } from "../peerTraffic/index.js";

/** Handler of one method. An error that it throws reaches the caller as a `PeerError` with reason "failed". */
export type PeerHandler = (body: unknown, channel: PeerChannel) => Promise<unknown> | unknown;

/**
 * Methods that a process provides to its peers, and the traffic counters of all its channels.
 *
 * @example
 * router.add("usage.batch", body => holdBatch(body));
 */
export class PeerRouter {
    readonly traffic = new PeerTraffic();
    private readonly handlers = new Map<string, PeerHandler>();

    /**
     * Registers a method.
     *
     * @throws Error when the method is already registered.
     */
    add(method: string, handler: PeerHandler): void {
        if (this.handlers.has(method)) throw new Error(`method ${method} is already registered`);
        this.handlers.set(method, handler);
    }

    /** Returns the handler of a method, if one is registered. */
    find(method: string): PeerHandler | undefined {
        return this.handlers.get(method);
    }
}
