import { Either, Left, Right } from "purify-ts";
import { Mailbox } from "../_lib/mailbox.js";
import { Clock } from "../clock/index.js";
import { Address, Connection, formatAddress, Listener, Network, NetworkError } from "../network/index.js";

/** How long a byte takes from one host to another, in milliseconds. */
export type LatencyBetween = (from: string, to: string) => number;

type Accept = (connection: Connection) => void;

/**
 * A network inside one process, with cuts. A cut holds back what is sent, as TCP does, and delivers it after the cut
 * heals; `forget` makes the open connections of a pair silent for good, as a middlebox that lost its state does.
 *
 * @example
 * const fabric = new MemoryFabric(clock, () => 1);
 * const network = fabric.network("10.0.0.1");
 */
export class MemoryFabric {
    private readonly listeners = new Map<string, Accept>();
    private readonly cuts = new Set<string>();
    private readonly pipes = new Set<Pipe>();
    private readonly actions = new Map<string, () => void>();

    /**
     * @param clock - Time for the latencies.
     * @param latency - One-way latency between two hosts.
     */
    constructor(readonly clock: Clock, readonly latency: LatencyBetween) {}

    /** The network as one host sees it. Addresses name hosts by this text. */
    network(host: string): Network {
        return new MemoryNetwork(this, host);
    }

    /** Holds back all that one host sends to another. One way only. */
    cut(from: string, to: string): void {
        this.cuts.add(linkName(from, to));
    }

    /** Ends a cut and delivers what was held back. */
    heal(from: string, to: string): void {
        this.cuts.delete(linkName(from, to));
        for (const pipe of this.pipes) pipe.flush();
    }

    /** Cuts a host off from all others, both ways, or joins it again. */
    isolate(host: string, others: readonly string[], isolated: boolean): void {
        for (const other of others) {
            if (other === host) continue;
            if (isolated) {
                this.cut(host, other);
                this.cut(other, host);
            }
            else {
                this.heal(host, other);
                this.heal(other, host);
            }
        }
    }

    /** Makes the connections now open between two hosts silent for good; new ones work. */
    forget(a: string, b: string): void {
        for (const pipe of this.pipes) {
            if ((pipe.from === a && pipe.to === b) || (pipe.from === b && pipe.to === a)) pipe.silence();
        }
    }

    /** Ends each connection of a host and its listeners, as its crash does. */
    crash(host: string): void {
        for (const name of [...this.listeners.keys()]) {
            if (name.startsWith(`${host}:`)) this.listeners.delete(name);
        }
        for (const pipe of [...this.pipes]) {
            if (pipe.from === host || pipe.to === host) pipe.end();
        }
    }

    /** Runs an action at the moment in which one host has next connected to another, before it sends anything. */
    onceConnected(from: string, to: string, action: () => void): void {
        this.actions.set(linkName(from, to), action);
    }

    /** Told of each connection that was opened. */
    connected(from: string, to: string): void {
        const action = this.actions.get(linkName(from, to));
        this.actions.delete(linkName(from, to));
        action?.();
    }

    isCut(from: string, to: string): boolean {
        return this.cuts.has(linkName(from, to));
    }

    register(address: Address, accept: Accept): void {
        const name = formatAddress(address);
        if (this.listeners.has(name)) throw new NetworkError("refused", `${name} is in use`);
        this.listeners.set(name, accept);
    }

    unregister(address: Address): void {
        this.listeners.delete(formatAddress(address));
    }

    acceptor(address: Address): Accept | undefined {
        return this.listeners.get(formatAddress(address));
    }

    openPipe(from: string, to: string): Pipe {
        const pipe = new Pipe(this, from, to, () => this.pipes.delete(pipe));
        this.pipes.add(pipe);
        return pipe;
    }
}

function linkName(from: string, to: string): string {
    return `${from}>${to}`;
}

class MemoryNetwork extends Network {
    private nextPort = 40_000;

    constructor(private readonly fabric: MemoryFabric, private readonly host: string) {
        super();
    }

    async listen(address: Address, accept: Accept): Promise<Listener> {
        const bound = { host: address.host, port: address.port === 0 ? this.nextPort++ : address.port };
        const accepted = new Set<Connection>();
        this.fabric.register(bound, connection => {
            accepted.add(connection);
            accept(connection);
        });
        return {
            address: bound,
            close: async () => {
                this.fabric.unregister(bound);
                for (const connection of accepted) connection.reset();
            },
        };
    }

    async connect(address: Address, timeoutMs: number): Promise<Either<NetworkError, Connection>> {
        const { fabric, host } = this;
        const roundTrip = fabric.latency(host, address.host) + fabric.latency(address.host, host);
        if (fabric.isCut(host, address.host) || fabric.isCut(address.host, host)) {
            await fabric.clock.sleep(timeoutMs);
            return Left(new NetworkError("timeout", formatAddress(address)));
        }
        await fabric.clock.sleep(Math.min(roundTrip, timeoutMs));
        const accept = fabric.acceptor(address);
        if (!accept) return Left(new NetworkError("refused", formatAddress(address)));
        const there = fabric.openPipe(host, address.host);
        const back = fabric.openPipe(address.host, host);
        accept(new MemoryConnection(host, back, there));
        fabric.connected(host, address.host);
        return Right(new MemoryConnection(address.host, there, back));
    }
}

/** One direction of a connection. Bytes arrive in order, each after the latency in force when it was sent. */
class Pipe {
    readonly received = new Mailbox<Uint8Array>();
    private held: Uint8Array[] = [];
    private lastArrival = 0;
    private silent = false;
    private closing = false;

    constructor(
        private readonly fabric: MemoryFabric,
        readonly from: string,
        readonly to: string,
        private readonly onEnd: () => void,
    ) {}

    send(bytes: Uint8Array): void {
        if (this.silent) return;
        if (this.held.length > 0 || this.fabric.isCut(this.from, this.to)) {
            this.held.push(bytes);
            return;
        }
        this.deliver(bytes);
    }

    flush(): void {
        if (this.fabric.isCut(this.from, this.to)) return;
        const held = this.held;
        this.held = [];
        for (const bytes of held) this.deliver(bytes);
        if (this.closing) this.close();
    }

    silence(): void {
        this.silent = true;
    }

    heldBytes(): number {
        return this.held.reduce((sum, bytes) => sum + bytes.length, 0);
    }

    close(): void {
        if (this.silent) return;
        this.closing = true;
        if (this.held.length > 0 || this.fabric.isCut(this.from, this.to)) return;
        this.schedule(() => this.end());
    }

    end(): void {
        this.held = [];
        this.received.end();
        this.onEnd();
    }

    private deliver(bytes: Uint8Array): void {
        this.schedule(() => {
            if (!this.silent) this.received.put(bytes);
        });
    }

    private schedule(action: () => void): void {
        const { clock } = this.fabric;
        const arrival = Math.max(clock.monotonic() + this.fabric.latency(this.from, this.to), this.lastArrival);
        this.lastArrival = arrival;
        clock.after(arrival - clock.monotonic(), action);
    }
}

class MemoryConnection extends Connection {
    constructor(readonly remote: string, private readonly outgoing: Pipe, private readonly incoming: Pipe) {
        super();
    }

    send(bytes: Uint8Array): void {
        this.outgoing.send(bytes);
    }

    receive(): Promise<Uint8Array | undefined> {
        return this.incoming.received.take();
    }

    pendingBytes(): number {
        return this.outgoing.heldBytes();
    }

    close(): void {
        this.outgoing.close();
        this.incoming.close();
    }

    reset(): void {
        // What is held back is thrown away; the other end learns of the reset unless the link is cut.
        const reachable = !this.outgoing["fabric"].isCut(this.outgoing.from, this.outgoing.to);
        this.incoming.end();
        if (reachable) this.outgoing.close();
        else this.outgoing.silence();
    }
}
