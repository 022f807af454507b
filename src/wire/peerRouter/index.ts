import type { PeerChannel } from "../peerChannel/index.js";
import { PeerTraffic } from "../peerTraffic/index.js";

/** Answers one kind of call. What it throws reaches the caller as a `PeerError` of reason "failed". */
export type PeerHandler = (body: unknown, channel: PeerChannel) => Promise<unknown> | unknown;

/**
 * The methods that a process answers to its peers, and the traffic of all its channels.
 *
 * @example
 * router.add("usage.batch", body => holdBatch(body));
 */
export class PeerRouter {
    readonly traffic = new PeerTraffic();
    private readonly handlers = new Map<string, PeerHandler>();

    /**
     * Adds a method.
     *
     * @throws Error when the method is there already.
     */
    add(method: string, handler: PeerHandler): void {
        if (this.handlers.has(method)) throw new Error(`the method ${method} stands twice`);
        this.handlers.set(method, handler);
    }

    find(method: string): PeerHandler | undefined {
        return this.handlers.get(method);
    }
}
