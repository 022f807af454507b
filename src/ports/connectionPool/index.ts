import { Agent, ClientRequest } from "node:http";
import { Socket } from "node:net";
import { ConnectionHistory } from "../connectionHistory/index.js";
import { Address } from "../network/index.js";

const MAX_FREE_SOCKETS_PER_ADDRESS = 256;

/**
 * Pool of kept connections for `node:http`.
 *
 * Destroys connections on which data arrives while they are idle: it may be a second response to a request that was already answered, and
 * would be read as the response to the next request on the connection.
 *
 * @example
 * const pool = new ConnectionPool(2_000, history);
 * pool.closeUnfit(address, "a1b2");
 * const req = request({ agent: pool, ...options });
 */
export class ConnectionPool extends Agent {
    private readonly dataListeners = new WeakMap<Socket, () => void>();

    /**
     * @param idleMs - Maximum idle time of a connection, in milliseconds.
     * @param history - The requests that connections have carried.
     */
    constructor(idleMs: number, private readonly history: ConnectionHistory<Socket>) {
        super({ keepAlive: true, timeout: idleMs, maxFreeSockets: MAX_FREE_SOCKETS_PER_ADDRESS });
    }

    /**
     * Closes idle connections on which a request must not be sent: those that have carried one with its id, since a late second response to
     * that one could not be told from its own.
     */
    closeUnfit(address: Address, id: string | undefined): void {
        const idle = this.freeSockets[this.getName(address)] ?? [];
        for (const socket of [...idle]) {
            if (id !== undefined && this.history.hasCarried(socket, id)) socket.destroy();
            // Node removes a destroyed connection from the pool only once it has closed, and may hand it out before.
            if (socket.destroyed) socket.emit("agentRemove");
        }
    }

    // Node calls `keepSocketAlive` when a request returns its connection to the pool, and `reuseSocket` when the next takes it.
    override keepSocketAlive(socket: Socket): boolean {
        if (this.history.isFull(socket)) return false;
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
