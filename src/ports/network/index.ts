import { Either } from "purify-ts";

/** Address at which a process listens: an IP address or host name, and a port. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** A failure of a connection; it is unknown whether any data that was sent has arrived. */
export class NetworkError extends Error {
    /** @param reason - The class of failure; `refused`: no process listens at the address, or it can't be listened at. */
    constructor(readonly reason: "refused" | "timeout" | "closed" | "reset", detail: string) {
        super(`${reason}: ${detail}`);
    }
}

/** A byte stream between two processes. */
export abstract class Connection {
    /** Address of the remote end, for logs. */
    abstract readonly remote: string;

    /**
     * Queues bytes for sending. On a closed connection they are dropped.
     *
     * @param bytes - The bytes, which are not copied.
     */
    abstract send(bytes: Uint8Array): void;

    /** Returns the next bytes, in order, or undefined once the connection has ended for any reason. */
    abstract receive(): Promise<Uint8Array | undefined>;

    /** Returns the number of queued bytes that the operating system has not accepted yet. */
    abstract pendingBytes(): number;

    /** Closes the connection after the queued bytes are sent. */
    abstract close(): void;

    /** Closes the connection at once and discards queued bytes, including those in the kernel. */
    abstract reset(): void;
}

/** A listening socket. */
export abstract class Listener {
    /** The bound address; where port 0 was requested, with the port that the operating system chose. */
    abstract readonly address: Address;

    /** Stops listening and resets the accepted connections. */
    abstract close(): Promise<void>;
}

/**
 * Byte streams between the system's own processes.
 *
 * @example
 * const listener = await network.listen({ host: "127.0.0.1", port: 0 }, connection => serve(connection));
 */
export abstract class Network {
    /**
     * Listens for connections.
     *
     * @param address - The address to listen at; port 0 means any free port.
     * @param accept - Called with each new connection.
     * @throws NetworkError if the address can't be bound.
     */
    abstract listen(address: Address, accept: (connection: Connection) => void): Promise<Listener>;

    /**
     * Opens a connection.
     *
     * @param address - The address to connect to.
     * @param timeoutMs - Timeout, in milliseconds.
     */
    abstract connect(address: Address, timeoutMs: number): Promise<Either<NetworkError, Connection>>;
}

/**
 * Formats an address as `host:port`.
 *
 * @example
 * formatAddress({ host: "127.0.0.1", port: 80 }); // "127.0.0.1:80"
 */
export function formatAddress(address: Address): string {
    return `${address.host}:${address.port}`;
}

/**
 * Parses an address written as `host:port`.
 *
 * @param text - For example `10.0.0.1:8080`.
 * @returns The address, or undefined if the text is not valid.
 * @example
 * parseAddress("10.0.0.1:8080");
 */
export function parseAddress(text: string): Address | undefined {
    const match = /^([0-9.]+|\[[0-9a-f:]+\]|[a-zA-Z][\w.-]*):(\d{1,5})$/.exec(text);
    if (!match || Number(match[2]) > 65_535) return undefined;
    return { host: match[1].replace(/[[\]]/g, ""), port: Number(match[2]) };
}
