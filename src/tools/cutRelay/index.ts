import { createServer, Server, Socket } from "node:net";

/**
 * A TCP relay on loopback that can go silent: for failure tests with real processes.
 *
 * @example
 * const relay = await CutRelay.start(7001);
 * relay.cut();
 */
export class CutRelay {
    private readonly pairs = new Set<readonly [Socket, Socket]>();
    private isCut = false;

    private constructor(private readonly server: Server, private target: number) {
        server.on("connection", socket => this.join(socket));
    }

    /**
     * @param target - The port on loopback to relay to.
     * @param port - The port to listen on; 0 means any free one.
     */
    static start(target: number, port = 0): Promise<CutRelay> {
        const server = createServer();
        const relay = new CutRelay(server, target);
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, "127.0.0.1", () => resolve(relay));
        });
    }

    get port(): number {
        return (this.server.address() as { port: number; }).port;
    }

    /** Holds everything back, both ways, on open and new connections alike, as a cut link does. */
    cut(): void {
        this.isCut = true;
        for (const [a, b] of this.pairs) {
            a.pause();
            b.pause();
        }
    }

    /** Lets what was held back through. */
    heal(): void {
        this.isCut = false;
        for (const [a, b] of this.pairs) {
            a.resume();
            b.resume();
        }
    }

    /** Makes the open connections silent for good; new ones work. */
    forget(): void {
        for (const [a, b] of this.pairs) {
            a.unpipe(b).resume();
            b.unpipe(a).resume();
        }
        this.pairs.clear();
    }

    async close(): Promise<void> {
        for (const [a, b] of this.pairs) {
            a.destroy();
            b.destroy();
        }
        await new Promise(done => this.server.close(done));
    }

    private join(near: Socket): void {
        const far = new Socket();
        const pair = [near, far] as const;
        this.pairs.add(pair);
        const end = (): void => {
            this.pairs.delete(pair);
            near.destroy();
            far.destroy();
        };
        for (const socket of pair) {
            socket.setNoDelay(true);
            socket.on("error", end);
            socket.on("close", end);
        }
        far.connect(this.target, "127.0.0.1");
        near.pipe(far);
        far.pipe(near);
        if (this.isCut) this.cut();
    }
}
