import { createServer, Server, Socket } from "node:net";

/**
 * A TCP relay on loopback that simulates network partitions in failure tests with real processes.
 *
 * @example
 * const relay = await PartitionRelay.start(7001);
 * relay.partition();
 */
export class PartitionRelay {
    private readonly socketPairs = new Set<readonly [Socket, Socket]>();
    private isPartitioned = false;

    private constructor(private readonly server: Server, private targetPort: number) {
        server.on("connection", socket => this.relayConnection(socket));
    }

    /**
     * Starts a relay on loopback.
     *
     * @param targetPort - Port on loopback that connections are relayed to.
     * @param port - Port to listen on; 0 selects any free one.
     */
    static start(targetPort: number, port = 0): Promise<PartitionRelay> {
        const server = createServer();
        const relay = new PartitionRelay(server, targetPort);
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, "127.0.0.1", () => resolve(relay));
        });
    }

    get port(): number {
        return (this.server.address() as { port: number; }).port;
    }

    /** Holds back all data in both directions, on open and new connections, as a partitioned network does. */
    partition(): void {
        this.isPartitioned = true;
        for (const [a, b] of this.socketPairs) {
            a.pause();
            b.pause();
        }
    }

    /** Ends the partition: data that was held back is delivered. */
    heal(): void {
        this.isPartitioned = false;
        for (const [a, b] of this.socketPairs) {
            a.resume();
            b.resume();
        }
    }

    /** Permanently discards the data of the open connections without closing them; new connections work. */
    discardOpenConnections(): void {
        for (const [a, b] of this.socketPairs) {
            a.unpipe(b).resume();
            b.unpipe(a).resume();
        }
        this.socketPairs.clear();
    }

    async close(): Promise<void> {
        for (const [a, b] of this.socketPairs) {
            a.destroy();
            b.destroy();
        }
        await new Promise(done => this.server.close(done));
    }

    private relayConnection(inbound: Socket): void {
        const outbound = new Socket();
        const pair = [inbound, outbound] as const;
        this.socketPairs.add(pair);
        const closePair = (): void => {
            this.socketPairs.delete(pair);
            inbound.destroy();
            outbound.destroy();
        };
        for (const socket of pair) {
            socket.setNoDelay(true);
            socket.on("error", closePair);
            socket.on("close", closePair);
        }
        outbound.connect(this.targetPort, "127.0.0.1");
        inbound.pipe(outbound);
        outbound.pipe(inbound);
        if (this.isPartitioned) this.partition();
    }
}
