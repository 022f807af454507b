import { Either, Left, Right } from "purify-ts";
import { Mailbox } from "../_lib/mailbox.js";
import { Clock } from "../clock/index.js";
import { Address, Connection, formatAddress, Listener, Network, NetworkError } from "../network/index.js";

/** Returns the one-way latency from one host to another, in milliseconds. */
export type LatencyModel = (from: string, to: string) => number;

type AcceptHandler = (connection: Connection) => void;

/**
 * How a host loses its path to another: `silent`: nothing arrives; `reset`: open connections are reset and new ones refused; `refuse`: new
 * connections are refused, and open ones live on.
 */
export type PathLoss = "silent" | "reset" | "refuse";

/**
 * In-memory network between simulated hosts, with link failures. A cut link holds back data and delivers it once healed,
 * as TCP retransmission does. `blackholeConnections` drops all further data on the open connections of two hosts, as a middlebox that has
 * lost its state does.
 *
 * @example
 * const fabric = new MemoryFabric(clock, () => 1);
 * const network = fabric.network("10.0.0.1");
 */
export class MemoryFabric {
    private readonly listeners = new Map<string, AcceptHandler>();
    private readonly cuts = new Set<string>();
    /** Hosts that stand still: what is sent to them waits there, also if its sender ends the connection meanwhile. */
    private readonly frozen = new Set<string>();
    private readonly healActions = new Map<string, (() => void)[]>();
    private readonly refusals = new Set<string>();
    private readonly resetListeners = new Set<(from: string, to: string) => void>();
    private readonly pipes = new Set<Pipe>();
    private readonly connectActions = new Map<string, () => void>();

    /**
     * @param clock - Times the latencies.
     * @param latency - Returns the one-way latency between two hosts, in milliseconds.
     */
    constructor(readonly clock: Clock, readonly latency: LatencyModel) {}

    /** Returns the network port of one host; `host` is the host part of its addresses. */
    network(host: string): Network {
        return new MemoryNetwork(this, host);
    }

    /** Cuts the link from one host to another, in this direction only. */
    cut(from: string, to: string): void {
        this.cuts.add(linkKey(from, to));
    }

    /** Heals a cut link and delivers the data that was held back. */
    heal(from: string, to: string): void {
        this.cuts.delete(linkKey(from, to));
        for (const pipe of this.pipes) pipe.flush();
        if (!this.isCut(from, to)) this.runHealActions(linkKey(from, to));
    }

    private runHealActions(key: string): void {
        const actions = this.healActions.get(key) ?? [];
        this.healActions.delete(key);
        for (const action of actions) action();
    }

    /** Runs an action once a cut link is healed. */
    onceHealed(from: string, to: string, action: () => void): void {
        const key = linkKey(from, to);
        this.healActions.set(key, [...this.healActions.get(key) ?? [], action]);
    }

    /** Has a host stand still: it neither sends nor receives. */
    freeze(host: string): void {
        this.frozen.add(host);
    }

    /** Lets a host go on that stood still: it receives what was sent to it meanwhile. */
    thaw(host: string): void {
        this.frozen.delete(host);
        for (const pipe of this.pipes) pipe.flush();
        for (const key of [...this.healActions.keys()]) {
            const [from, to] = key.split(LINK_SEPARATOR);
            if ((from === host || to === host) && !this.isCut(from, to)) this.runHealActions(key);
        }
    }

    /** Cuts, or heals, the links between a host and all others, in both directions. */
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

    /** Takes the path from one host to another away. */
    losePath(from: string, to: string, loss: PathLoss): void {
        if (loss === "silent") {
            this.cut(from, to);
            this.cut(to, from);
            return;
        }
        this.refusals.add(linkKey(from, to));
        if (loss === "reset") this.resetConnections(from, to);
    }

    /** Gives back a path that was taken away, whatever the kind. */
    restorePath(from: string, to: string): void {
        this.refusals.delete(linkKey(from, to));
        this.heal(from, to);
        this.heal(to, from);
    }

    /** Whether new connections from one host to another are refused. */
    refuses(from: string, to: string): boolean {
        return this.refusals.has(linkKey(from, to));
    }

    /** Registers a listener that is called when the open connections from one host to another are reset. */
    onReset(listener: (from: string, to: string) => void): void {
        this.resetListeners.add(listener);
    }

    private resetConnections(from: string, to: string): void {
        for (const pipe of [...this.pipes]) {
            if ((pipe.from === from && pipe.to === to) || (pipe.from === to && pipe.to === from)) pipe.end();
        }
        for (const listener of this.resetListeners) listener(from, to);
    }

    /** Drops all further data on the connections now open between two hosts; new connections work. */
    blackholeConnections(a: string, b: string): void {
        for (const pipe of this.pipes) {
            if ((pipe.from === a && pipe.to === b) || (pipe.from === b && pipe.to === a)) pipe.blackhole();
        }
    }

    /** Simulates a crash of a host: ends its connections and removes its listeners. */
    crash(host: string): void {
        for (const name of [...this.listeners.keys()]) {
            if (name.startsWith(`${host}:`)) this.listeners.delete(name);
        }
        for (const pipe of [...this.pipes]) {
            if (pipe.from === host || pipe.to === host) pipe.end();
        }
    }

    /** Runs an action once, when one host next connects to another, before any data is sent. */
    onNextConnection(from: string, to: string, action: () => void): void {
        this.connectActions.set(linkKey(from, to), action);
    }

    /** Runs the action registered by `onNextConnection`, if any; called for each connection that is opened. */
    notifyConnected(from: string, to: string): void {
        const action = this.connectActions.get(linkKey(from, to));
        this.connectActions.delete(linkKey(from, to));
        action?.();
    }

    isCut(from: string, to: string): boolean {
        return this.cuts.has(linkKey(from, to)) || this.frozen.has(from) || this.frozen.has(to);
    }

    /** Whether bytes sent from one host to another arrive there at once or, where that host stands still, once it goes on. */
    reaches(from: string, to: string): boolean {
        return !this.cuts.has(linkKey(from, to)) && !this.frozen.has(from);
    }

    register(address: Address, accept: AcceptHandler): void {
        const name = formatAddress(address);
        if (this.listeners.has(name)) throw new NetworkError("refused", `${name} is in use`);
        this.listeners.set(name, accept);
    }

    unregister(address: Address): void {
        this.listeners.delete(formatAddress(address));
    }

    findListener(address: Address): AcceptHandler | undefined {
        return this.listeners.get(formatAddress(address));
    }

    openPipe(from: string, to: string): Pipe {
        const pipe = new Pipe(this, from, to, () => this.pipes.delete(pipe));
        this.pipes.add(pipe);
        return pipe;
    }
}

const LINK_SEPARATOR = ">";

function linkKey(from: string, to: string): string {
    return `${from}${LINK_SEPARATOR}${to}`;
}

class MemoryNetwork extends Network {
    private nextPort = 40_000;

    constructor(private readonly fabric: MemoryFabric, private readonly host: string) {
        super();
    }

    async listen(address: Address, accept: AcceptHandler): Promise<Listener> {
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
        const roundTripMs = fabric.latency(host, address.host) + fabric.latency(address.host, host);
        if (fabric.isCut(host, address.host) || fabric.isCut(address.host, host)) {
            await fabric.clock.sleep(timeoutMs);
            return Left(new NetworkError("timeout", formatAddress(address)));
        }
        await fabric.clock.sleep(Math.min(roundTripMs, timeoutMs));
        const accept = fabric.refuses(host, address.host) ? undefined : fabric.findListener(address);
        if (!accept) return Left(new NetworkError("refused", formatAddress(address)));
        const outgoing = fabric.openPipe(host, address.host);
        const incoming = fabric.openPipe(address.host, host);
        accept(new MemoryConnection(host, incoming, outgoing));
        fabric.notifyConnected(host, address.host);
        return Right(new MemoryConnection(address.host, outgoing, incoming));
    }
}

/** One direction of a connection. Data arrives in order, after the latency that applied when it was sent. */
class Pipe {
    readonly received = new Mailbox<Uint8Array>();
    private held: Uint8Array[] = [];
    private lastArrivalMs = 0;
    private isBlackholed = false;
    private isClosing = false;

    constructor(
        private readonly fabric: MemoryFabric,
        readonly from: string,
        readonly to: string,
        private readonly onEnd: () => void,
    ) {}

    send(bytes: Uint8Array): void {
        if (this.isBlackholed) return;
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
        if (this.isClosing) this.close();
    }

    blackhole(): void {
        this.isBlackholed = true;
    }

    heldBytes(): number {
        return this.held.reduce((sum, bytes) => sum + bytes.length, 0);
    }

    close(): void {
        if (this.isBlackholed) return;
        this.isClosing = true;
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
            if (!this.isBlackholed) this.received.put(bytes);
        });
    }

    private schedule(action: () => void): void {
        const { clock } = this.fabric;
        const arrivalMs = Math.max(clock.monotonic() + this.fabric.latency(this.from, this.to), this.lastArrivalMs);
        this.lastArrivalMs = arrivalMs;
        clock.after(arrivalMs - clock.monotonic(), action);
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
        // Data that is held back is dropped. The remote end is notified of the reset unless the link is cut.
        const reachable = this.outgoing["fabric"].reaches(this.outgoing.from, this.outgoing.to);
        this.incoming.end();
        if (reachable) this.outgoing.close();
        else this.outgoing.blackhole();
    }
}
