import { Agent, ClientRequest } from "node:http";
import { Socket } from "node:net";
import { Address } from "../network/index.js";

const MAX_FREE_SOCKETS_PER_ADDRESS = 256;

/**
 * Pool of kept connections for `node:http`.
 *
 * Destroys connections on which data arrives while they are idle: it may be a second response to a request that was already answered, and
 * would be read as the response to the next request on the connection.
 *
 * @example
 * const pool = new ConnectionPool(2_000);
 * pool.removeDestroyed(address);
 * const req = request({ agent: pool, ...options });
 */
export class ConnectionPool extends Agent {
    private readonly dataListeners = new WeakMap<Socket, () => void>();

    /** @param idleMs - Maximum idle time of a connection, in milliseconds. */
    constructor(idleMs: number) {
        super({ keepAlive: true, timeout: idleMs, maxFreeSockets: MAX_FREE_SOCKETS_PER_ADDRESS });
    }

    /** Removes connections to an address that were destroyed: Node does so only once they have closed, and may hand them out before. */
    removeDestroyed(address: Address): void {
        const idle = this.freeSockets[this.getName(address)] ?? [];
        for (const socket of [...idle]) {
            if (socket.destroyed) socket.emit("agentRemove");
        }
    }

    // Node calls `keepSocketAlive` when a request returns its connection to the pool, and `reuseSocket` when the next takes it.
    override keepSocketAlive(socket: Socket): boolean {
        const destroyOnData = (): void => void socket.destroy();
        this.dataListeners.set(socket, destroyOnData);
        socket.once("data", destroyOnData);
        return super.keepSocketAlive(socket) as unknown as boolean;
    }

    override reuseSocket(socket: Socket, req: ClientRequest): void {
        const destroyOnData = this.dataListeners.get(socket);
        if (destroyOnData) socket.removeListener("data", destroyOnData);
        super.reuseSocket(socket, req);
    }
}
