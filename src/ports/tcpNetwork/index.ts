import { createServer, Socket } from "node:net";
import { Either, Left, Right } from "purify-ts";
import { Mailbox } from "../_lib/mailbox.js";
import { startTimer } from "../_lib/startTimer.js";
import { Address, Connection, formatAddress, Listener, Network, NetworkError } from "../network/index.js";

/**
 * Byte streams over TCP.
 *
 * @example
 * const network = new TcpNetwork();
 */
export class TcpNetwork extends Network {
    listen(address: Address, accept: (connection: Connection) => void): Promise<Listener> {
        const openSockets = new Set<Socket>();
        const server = createServer({ noDelay: true, allowHalfOpen: true }, socket => {
            openSockets.add(socket);
            socket.on("close", () => openSockets.delete(socket));
            accept(new TcpConnection(socket));
        });
        return new Promise((resolve, reject) => {
            server.once("error", err => reject(new NetworkError("refused", err.message)));
            server.listen(address.port, address.host, () => {
                const bound = server.address() as { port: number; };
                resolve(
                    {
                        address: { host: address.host, port: bound.port },
                        close: () =>
                            new Promise<void>(done => {
                                server.close(() => done());
                                for (const socket of openSockets) socket.resetAndDestroy();
                            }),
                    } satisfies Listener,
                );
            });
        });
    }

    connect(address: Address, timeoutMs: number): Promise<Either<NetworkError, Connection>> {
        return new Promise(resolve => {
            const socket = new Socket({ allowHalfOpen: true });
            const timer = startTimer(timeoutMs, () => fail("timeout"));
            const fail = (reason: NetworkError["reason"]): void => {
                timer.cancel();
                socket.destroy();
                resolve(Left(new NetworkError(reason, formatAddress(address))));
            };
            socket.once(
                "error",
                (err: NodeJS.ErrnoException) => fail(err.code === "ECONNREFUSED" ? "refused" : "closed"),
            );
            socket.connect(address.port, address.host, () => {
                timer.cancel();
                socket.removeAllListeners("error");
                socket.setNoDelay(true);
                resolve(Right(new TcpConnection(socket)));
            });
        });
    }
}

class TcpConnection extends Connection {
    readonly remote: string;
    private readonly received = new Mailbox<Uint8Array>();

    constructor(private readonly socket: Socket) {
        super();
        this.remote = `${socket.remoteAddress}:${socket.remotePort}`;
        socket.on("data", chunk => this.received.put(chunk));
        socket.on("end", () => this.received.end());
        socket.on("close", () => this.received.end());
        // Each error is followed by "close", which ends the reader's queue.
        socket.on("error", () => undefined);
    }

    send(bytes: Uint8Array): void {
        if (this.socket.writable) this.socket.write(bytes);
    }

    receive(): Promise<Uint8Array | undefined> {
        return this.received.take();
    }

    pendingBytes(): number {
        return this.socket.writableLength;
    }

    close(): void {
        this.socket.end();
    }

    reset(): void {
        this.socket.resetAndDestroy();
        this.received.end();
    }
}
