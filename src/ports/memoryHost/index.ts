import { Either } from "purify-ts";
import { Clock, Timer } from "../clock/index.js";
import { AppendFile, Disk, DiskLock } from "../disk/index.js";
import { Address, Connection, Listener, Network, NetworkError } from "../network/index.js";

/** Options of `MemoryHost`. */
export interface MemoryHostOptions {
    /** The simulation's clock, which all hosts share. */
    readonly clock: Clock;
    readonly network: Network;
    readonly disk: Disk;
    /** Rate of the host's monotonic clock relative to `clock`; 1.01 runs 1% fast. */
    readonly clockRate?: number;
}

/**
 * Clock, network and disk of one simulated process, from its start to its end. The process can be frozen, as by SIGSTOP:
 * its clock goes on, but timers, received bytes and disk results are deferred until it is thawed. Or its machine is
 * suspended, and its clock stands still as well. Once it is killed, no
 * callback runs any more and its own sends, closes and disk operations have no effect.
 *
 * @example
 * const host = new MemoryHost({ clock, network: fabric.network("10.0.0.1"), disk });
 * host.freeze();
 */
export class MemoryHost {
    readonly clock: HostClock;
    readonly network: Network;
    readonly disk: Disk;
    private deferred: (() => void)[] = [];
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

    /** Defers all callbacks until `thaw`. */
    freeze(): void {
        this.isFrozen = true;
    }

    /** Suspends the machine: its monotonic clock stands still as well, until `thaw`. */
    suspend(): void {
        this.freeze();
        this.clock.suspend();
    }

    /** Runs the deferred callbacks, in order. */
    thaw(): void {
        this.isFrozen = false;
        this.clock.resume();
        const deferred = this.deferred;
        this.deferred = [];
        for (const action of deferred) action();
    }

    /** Ends the process: drops deferred and later callbacks. */
    kill(): void {
        this.isKilled = true;
        this.deferred = [];
    }

    /** Runs an action at once, after the thaw if the process is frozen, or never if it was killed. */
    runWhenRunnable(action: () => void): void {
        if (this.isKilled) return;
        if (this.isFrozen) this.deferred.push(action);
        else action();
    }

    /** Returns a promise that settles like `work`, but only while the process is running. */
    settleWhenRunnable<Value>(work: Promise<Value>): Promise<Value> {
        return new Promise((resolve, reject) => {
            work.then(
                value => this.runWhenRunnable(() => resolve(value)),
                err => this.runWhenRunnable(() => reject(err as Error)),
            );
        });
    }
}

/** Rounding error of the readings of a clock that was suspended, in milliseconds. */
const MAX_ROUNDING_MS = 1e-3;

/** A host's clock, which may run fast or slow and whose wall time may be stepped. */
export class HostClock extends Clock {
    /** Simulation time and host time at the last change of the rate, in milliseconds. */
    private baseTrueMs = 0;
    private baseHostMs = 0;
    private wallOffsetMs = 0;
    /** Simulation time at which the machine was suspended; undefined: it runs. */
    private suspendedAt: number | undefined;
    /** Total time for which the machine was suspended, in milliseconds. */
    private suspendedMs = 0;

    constructor(private readonly host: MemoryHost, private readonly clock: Clock, private rate: number) {
        super();
    }

    /** Changes the clock's rate; timers that are already scheduled keep their time. */
    setRate(rate: number): void {
        this.baseHostMs = this.monotonic();
        this.baseTrueMs = this.clock.monotonic();
        this.rate = rate;
    }

    /** Steps the wall clock forward, in milliseconds. Processes can't tell this from a suspension of the machine. */
    stepWallClock(ms: number): void {
        this.wallOffsetMs += ms;
    }

    /** Stops the monotonic clock. */
    suspend(): void {
        this.suspendedAt ??= this.clock.monotonic();
    }

    /** Lets the monotonic clock go on after `suspend`. */
    resume(): void {
        if (this.suspendedAt === undefined) return;
        const durationMs = this.clock.monotonic() - this.suspendedAt;
        this.suspendedAt = undefined;
        this.suspendedMs += durationMs;
        this.baseTrueMs += durationMs;
    }

    now(): number {
        return this.clock.now() + this.wallOffsetMs;
    }

    override monotonicWithSuspend(): number {
        const now = this.clock.monotonic();
        const presentSuspensionMs = now - (this.suspendedAt ?? now);
        return this.monotonic() + this.suspendedMs + presentSuspensionMs + this.wallOffsetMs;
    }

    monotonic(): number {
        const trueMs = this.suspendedAt ?? this.clock.monotonic();
        return this.baseHostMs + (trueMs - this.baseTrueMs) * this.rate;
    }

    after(ms: number, callback: () => void): Timer {
        let isCancelled = false;
        const dueAt = this.monotonic() + ms;
        const suspendedBeforeMs = this.suspendedMs;
        const runWhenDue = (): void => {
            if (isCancelled) return;
            const remainingMs = this.suspendedMs > suspendedBeforeMs ? dueAt - this.monotonic() : 0;
            if (remainingMs <= MAX_ROUNDING_MS) {
                callback();
                return;
            }
            timer = this.schedule(remainingMs, runWhenDue);
        };
        let timer = this.schedule(ms, runWhenDue);
        return {
            cancel: () => {
                isCancelled = true;
                timer.cancel();
            },
        };
    }

    /** Schedules a callback, slightly late on a clock whose readings are rounded, so that it never reads a time before the due one. */
    private schedule(ms: number, callback: () => void): Timer {
        const latenessMs = this.suspendedMs > 0 ? MAX_ROUNDING_MS : 0;
        return this.clock.after(ms / this.rate + latenessMs, () => this.host.runWhenRunnable(callback));
    }
}

class HostNetwork extends Network {
    constructor(private readonly host: MemoryHost, private readonly network: Network) {
        super();
    }

    listen(address: Address, accept: (connection: Connection) => void): Promise<Listener> {
        const { host } = this;
        return host.settleWhenRunnable(this.network.listen(address, connection => {
            host.runWhenRunnable(() => accept(new HostConnection(host, connection)));
        }));
    }

    connect(address: Address, timeoutMs: number): Promise<Either<NetworkError, Connection>> {
        const connecting = this.network.connect(address, timeoutMs);
        const wrapped = connecting.then(result => {
            return result.map((connection): Connection => new HostConnection(this.host, connection));
        });
        return this.host.settleWhenRunnable(wrapped);
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
        return this.host.settleWhenRunnable(this.connection.receive());
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
        return this.perform(() => this.disk.makeFolder(path));
    }

    list(path: string): Promise<string[]> {
        return this.perform(() => this.disk.list(path));
    }

    read(path: string): Promise<Uint8Array | undefined> {
        return this.perform(() => this.disk.read(path));
    }

    async openAppend(path: string): Promise<AppendFile> {
        return new HostFile(this, await this.perform(() => this.disk.openAppend(path)));
    }

    replace(path: string, bytes: Uint8Array): Promise<void> {
        return this.perform(() => this.disk.replace(path, bytes));
    }

    remove(path: string): Promise<void> {
        return this.perform(() => this.disk.remove(path));
    }

    lock(): Promise<DiskLock> {
        return this.perform(() => this.disk.lock());
    }

    perform<Value>(work: () => Promise<Value>): Promise<Value> {
        if (this.host.killed) return new Promise(() => undefined);
        return this.host.settleWhenRunnable(work());
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
        return this.disk.perform(() => this.file.append(bytes));
    }

    sync(): Promise<void> {
        return this.disk.perform(() => this.file.sync());
    }

    truncate(size: number): Promise<void> {
        return this.disk.perform(() => this.file.truncate(size));
    }

    close(): Promise<void> {
        return this.disk.perform(() => this.file.close());
    }
}
