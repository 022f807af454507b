import { Either, Left, Right } from "purify-ts";
import { HostId, Incarnation } from "../../ids/index.js";
import { Clock, Connection, Timer } from "../../ports/index.js";
import { encodeFrame, FrameReader } from "../frame/index.js";
import { PeerRouter } from "../peerRouter/index.js";
import { TrafficDirection } from "../peerTraffic/index.js";

/**
 * Version of the wire protocol. Raised when older processes can't read a change; optional fields may be added without
 * raising it.
 */
export const PROTOCOL_VERSION = 1;

/** Identity of the process at one end of a channel. */
export interface PeerIdentity {
    readonly host: HostId;
    readonly incarnation: Incarnation;
}

/** Timing with which a channel detects an unresponsive connection. */
export interface PeerTiming {
    /** A ping is sent when nothing else was sent for this long, in milliseconds. */
    readonly heartbeatMs: number;
    /** The connection is reset when nothing was received for this long, in milliseconds. */
    readonly silenceMs: number;
}

/** Timing used where settings provide none. */
export const DEFAULT_PEER_TIMING: PeerTiming = { heartbeatMs: 500, silenceMs: 2_000 };

/** Thrown for a call to a peer that received no reply, or a reply that reports a failure. */
export class PeerError extends Error {
    /**
     * @param reason - `unreachable`: no channel is open. `timeout`: no reply arrived in time. `lost`: the connection
     * ended during the call. `failed`: the peer reported an error.
     * @param mayHaveArrived - False only when the peer can't have received the call.
     * @param detail - Details for logs.
     */
    constructor(
        readonly reason: "unreachable" | "timeout" | "lost" | "failed",
        readonly mayHaveArrived: boolean,
        detail: string,
    ) {
        super(`${reason}: ${detail}`);
    }
}

enum FrameKind {
    Hello = 0,
    Ping = 1,
    Call = 2,
    Answer = 3,
    Failure = 4,
    Notice = 5,
}

/** [kind, call id, method or error, body]. A hello carries the version, host and incarnation in these positions. */
type Frame = readonly [kind: FrameKind, id: number, name: string, body?: unknown];

/** Method name under which pings, and replies that no caller waits for any more, are counted. */
const LINK_TRAFFIC = "link";

interface PendingCall {
    readonly method: string;
    readonly settle: (result: Either<PeerError, unknown>) => void;
    readonly timeout: Timer;
}

/** Options of a channel. */
export interface PeerChannelOptions {
    readonly connection: Connection;
    readonly clock: Clock;
    readonly self: PeerIdentity;
    readonly router: PeerRouter;
    readonly timing: PeerTiming;
}

/**
 * Bidirectional calls and notices over one connection. One task reads it, from the hello to the end.
 *
 * Prevents calls from hanging on a connection that is permanently dead while new ones work: both ends send pings, and
 * an end that receives nothing for `silenceMs` resets the connection, so that a new one is opened. Each call has its
 * own timeout in addition.
 *
 * @example
 * const channel = new PeerChannel(options);
 * await channel.run();
 */
export class PeerChannel {
    private readonly pending = new Map<number, PendingCall>();
    private readonly reader: FrameReader;
    private nextId = 1;
    private lastSentAt: number;
    private lastReceivedAt: number;
    private ended = false;
    private identity: PeerIdentity | undefined;
    private resolveReady: () => void = () => undefined;
    private resolveClosed: () => void = () => undefined;

    /** Resolves once the channel has ended. */
    readonly closed = new Promise<void>(resolve => {
        this.resolveClosed = resolve;
    });

    /** Resolves once the peer's hello has arrived, or the channel has ended without one. */
    readonly ready = new Promise<void>(resolve => {
        this.resolveReady = resolve;
    });

    constructor(private readonly options: PeerChannelOptions) {
        this.reader = new FrameReader(options.connection);
        this.lastSentAt = options.clock.monotonic();
        this.lastReceivedAt = this.lastSentAt;
    }

    /** Identity of the peer; undefined until its hello has arrived. */
    get peer(): PeerIdentity | undefined {
        return this.identity;
    }

    get isOpen(): boolean {
        return !this.ended && this.identity !== undefined;
    }

    /** Reads the connection until it ends. Never throws. */
    async run(): Promise<void> {
        const { self } = this.options;
        this.send([FrameKind.Hello, PROTOCOL_VERSION, self.host, { incarnation: self.incarnation }]);
        this.monitorConnection();
        try {
            await this.readFrames();
        }
        catch {
            // The bytes are not a valid frame. The rest of the stream can't be trusted, so the connection is reset
            // below.
        }
        this.reset();
    }

    /**
     * Calls a method of the peer.
     *
     * @param method - Name of the method.
     * @param body - A value that msgpack can encode, or an `EncodedBody`.
     * @param timeoutMs - Timeout of the call, in milliseconds.
     * @returns The body of the reply.
     */
    call(method: string, body: unknown, timeoutMs: number): Promise<Either<PeerError, unknown>> {
        if (!this.isOpen) return Promise.resolve(Left(new PeerError("unreachable", false, method)));
        const id = this.nextId++;
        return new Promise(resolve => {
            const timeout = this.options.clock.after(
                timeoutMs,
                () => this.settleCall(id, Left(new PeerError("timeout", true, method))),
            );
            this.pending.set(id, { method, settle: resolve, timeout });
            this.send([FrameKind.Call, id, method, body]);
        });
    }

    /**
     * Sends a notice to the peer without waiting for a reply. The notice is lost when the connection ends.
     *
     * @param body - As for `call`.
     */
    notify(method: string, body: unknown): void {
        if (this.isOpen) this.send([FrameKind.Notice, 0, method, body]);
    }

    /** Closes the connection immediately and discards unsent data. Pending calls fail as `lost`. */
    reset(): void {
        if (this.ended) return;
        this.ended = true;
        this.options.connection.reset();
        for (const id of [...this.pending.keys()]) {
            this.settleCall(id, Left(new PeerError("lost", true, "connection ended")));
        }
        this.resolveReady();
        this.resolveClosed();
    }

    private async readFrames(): Promise<void> {
        for (;;) {
            const frame = await this.reader.next() as Frame | undefined;
            if (frame === undefined || this.ended) return;
            this.lastReceivedAt = this.options.clock.monotonic();
            this.countTraffic("received", frame, this.reader.lastFrameBytes);
            if (!this.handleFrame(frame)) return;
        }
    }

    /** Handles a frame. Returns false to end the channel. */
    private handleFrame([kind, id, name, body]: Frame): boolean {
        if (kind === FrameKind.Hello) return this.handleHello(id, name, body as { incarnation: Incarnation; });
        if (!this.identity) return false;
        if (kind === FrameKind.Call) void this.handleCall(id, name, body);
        if (kind === FrameKind.Answer) this.settleCall(id, Right(body));
        if (kind === FrameKind.Failure) this.settleCall(id, Left(new PeerError("failed", true, name)));
        if (kind === FrameKind.Notice) void this.runHandler(name, body).catch(() => undefined);
        return true;
    }

    private handleHello(version: number, host: string, { incarnation }: { incarnation: Incarnation; }): boolean {
        if (version !== PROTOCOL_VERSION) return false;
        this.identity = { host: host as HostId, incarnation };
        this.resolveReady();
        return true;
    }

    private async handleCall(id: number, method: string, body: unknown): Promise<void> {
        try {
            this.send([FrameKind.Answer, id, "", await this.runHandler(method, body)], method);
        }
        catch (err) {
            this.send([FrameKind.Failure, id, (err as Error).message], method);
        }
    }

    private async runHandler(method: string, body: unknown): Promise<unknown> {
        const handler = this.options.router.find(method);
        if (!handler) throw new Error(`no method ${method}`);
        return handler(body, this);
    }

    private settleCall(id: number, result: Either<PeerError, unknown>): void {
        const call = this.pending.get(id);
        if (!call) return;
        this.pending.delete(id);
        call.timeout.cancel();
        call.settle(result);
    }

    /** @param answeredMethod - Method to which a reply belongs. */
    private send(frame: Frame, answeredMethod?: string): void {
        if (this.ended) return;
        this.lastSentAt = this.options.clock.monotonic();
        const bytes = encodeFrame(frame);
        this.countTraffic("sent", frame, bytes.length, answeredMethod);
        this.options.connection.send(bytes);
    }

    private countTraffic(
        direction: TrafficDirection,
        [kind, id, name]: Frame,
        bytes: number,
        answeredMethod?: string,
    ): void {
        const calledMethod = kind === FrameKind.Call || kind === FrameKind.Notice ? name : "";
        const method = answeredMethod ?? (isReply(kind) ? this.pending.get(id)?.method : calledMethod);
        this.options.router.traffic.record(direction, method || LINK_TRAFFIC, bytes);
    }

    private monitorConnection(): void {
        const { clock, timing } = this.options;
        const check = (): void => {
            if (this.ended) return;
            const now = clock.monotonic();
            if (now - this.lastReceivedAt >= timing.silenceMs) {
                this.reset();
                return;
            }
            if (now - this.lastSentAt >= timing.heartbeatMs) this.send([FrameKind.Ping, 0, ""]);
            clock.after(clock.msUntilTick(timing.heartbeatMs / 2), check);
        };
        clock.after(clock.msUntilTick(timing.heartbeatMs / 2), check);
    }
}

function isReply(kind: FrameKind): boolean {
    return kind === FrameKind.Answer || kind === FrameKind.Failure;
}
