import { Either } from "purify-ts";
import { Clock, Timer } from "../clock/index.js";
import { AppendFile, Disk, DiskLock } from "../disk/index.js";
import { Address, Connection, Listener, Network, NetworkError } from "../network/index.js";

/** What a process on a host is given. */
export interface MemoryHostOptions {
    /** True time. */
    readonly clock: Clock;
    readonly network: Network;
    readonly disk: Disk;
    /** How fast the host's monotonic clock runs: 1.01 gains a hundredth. */
    readonly clockRate?: number;
}

/**
 * The ports as one process sees them, from its start to its end. The process can be frozen, as by SIGSTOP: its clock goes on, but
 * neither timers nor bytes nor disks wake it before it is thawed. Once it is killed, nothing wakes it again and nothing
 * that it does has an effect.
 *
 * @example
 * const host = new MemoryHost({ clock, network: fabric.network("10.0.0.1"), disk });
 * host.freeze();
 */
export class MemoryHost {
    readonly clock: HostClock;
    readonly network: Network;
    readonly disk: Disk;
    private held: (() => void)[] = [];
    private isFrozen = false;
    private isKilled = false;

    constructor(options: MemoryHostOptions) {
        this.clock = new HostClock(this, options.clock, options.clockRate ?? 1);
        this.network = new HostNetwork(this, options.network);
        this.disk = new HostDisk(this, options.disk);
    }

    get killed(): boolean {
        return this.isKilled;
    }

    get frozen(): boolean {
        return this.isFrozen;
    }

    freeze(): void {
        this.isFrozen = true;
    }

    /** Runs what was held back, in its order. */
    thaw(): void {
        this.isFrozen = false;
        const held = this.held;
        this.held = [];
        for (const action of held) action();
    }

    kill(): void {
        this.isKilled = true;
        this.held = [];
    }

    /** Runs an action when the process is able to: at once, after the thaw, or never. */
    run(action: () => void): void {
        if (this.isKilled) return;
        if (this.isFrozen) this.held.push(action);
        else action();
    }

    /** Settles as the work does, but only when the process is able to notice. */
    notice<Value>(work: Promise<Value>): Promise<Value> {
        return new Promise((resolve, reject) => {
            work.then(value => this.run(() => resolve(value)), err => this.run(() => reject(err as Error)));
        });
    }
}

/** A host's clock, which may run fast or slow. */
export class HostClock extends Clock {
    private trueBase = 0;
    private base = 0;
    private sleptMs = 0;

    constructor(private readonly host: MemoryHost, private readonly clock: Clock, private rate: number) {
        super();
    }

    /** Runs faster or slower from now on; calls that are due already keep their time. */
    setRate(rate: number): void {
        this.base = this.monotonic();
        this.trueBase = this.clock.monotonic();
        this.rate = rate;
    }

    /** Sets the wall clock forward, which looks as if the machine had slept. */
    setForward(ms: number): void {
        this.sleptMs += ms;
    }

    now(): number {
        return this.clock.now() + this.sleptMs;
    }

    override elapsed(): number {
        return this.monotonic() + this.sleptMs;
    }

    monotonic(): number {
        return this.base + (this.clock.monotonic() - this.trueBase) * this.rate;
    }

    after(ms: number, callback: () => void): Timer {
        let isCancelled = false;
        const runIfWanted = (): void => {
            if (!isCancelled) callback();
        };
        const timer = this.clock.after(ms / this.rate, () => this.host.run(runIfWanted));
        return {
            cancel: () => {
                isCancelled = true;
                timer.cancel();
            },
        };
    }
}

class HostNetwork extends Network {
    constructor(private readonly host: MemoryHost, private readonly network: Network) {
        super();
    }

    listen(address: Address, accept: (connection: Connection) => void): Promise<Listener> {
        const { host } = this;
        return host.notice(this.network.listen(address, connection => {
            host.run(() => accept(new HostConnection(host, connection)));
        }));
    }

    connect(address: Address, timeoutMs: number): Promise<Either<NetworkError, Connection>> {
        const connecting = this.network.connect(address, timeoutMs);
        const wrapped = connecting.then(result => {
            return result.map((connection): Connection => new HostConnection(this.host, connection));
        });
        return this.host.notice(wrapped);
    }
}

class HostConnection extends Connection {
    readonly remote: string;

    constructor(private readonly host: MemoryHost, private readonly connection: Connection) {
        super();
        this.remote = connection.remote;
    }

    send(bytes: Uint8Array): void {
        if (!this.host.killed) this.connection.send(bytes);
    }

    receive(): Promise<Uint8Array | undefined> {
        return this.host.notice(this.connection.receive());
    }

    pendingBytes(): number {
        return this.connection.pendingBytes();
    }

    close(): void {
        if (!this.host.killed) this.connection.close();
    }

    reset(): void {
        if (!this.host.killed) this.connection.reset();
    }
}

class HostDisk extends Disk {
    constructor(private readonly host: MemoryHost, private readonly disk: Disk) {
        super();
    }

    makeFolder(path: string): Promise<void> {
        return this.act(() => this.disk.makeFolder(path));
    }

    list(path: string): Promise<string[]> {
        return this.act(() => this.disk.list(path));
    }

    read(path: string): Promise<Uint8Array | undefined> {
        return this.act(() => this.disk.read(path));
    }

    async openAppend(path: string): Promise<AppendFile> {
        return new HostFile(this, await this.act(() => this.disk.openAppend(path)));
    }

    replace(path: string, bytes: Uint8Array): Promise<void> {
        return this.act(() => this.disk.replace(path, bytes));
    }

    remove(path: string): Promise<void> {
        return this.act(() => this.disk.remove(path));
    }

    lock(): Promise<DiskLock> {
        return this.act(() => this.disk.lock());
    }

    act<Value>(work: () => Promise<Value>): Promise<Value> {
        if (this.host.killed) return new Promise(() => undefined);
        return this.host.notice(work());
    }
}

class HostFile extends AppendFile {
    constructor(private readonly disk: HostDisk, private readonly file: AppendFile) {
        super();
    }

    get size(): number {
        return this.file.size;
    }

    append(bytes: Uint8Array): Promise<void> {
        return this.disk.act(() => this.file.append(bytes));
    }

    sync(): Promise<void> {
        return this.disk.act(() => this.file.sync());
    }

    truncate(size: number): Promise<void> {
        return this.disk.act(() => this.file.truncate(size));
    }

    close(): Promise<void> {
        return this.disk.act(() => this.file.close());
    }
}
