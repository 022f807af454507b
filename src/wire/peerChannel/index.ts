import { Either, Left, Right } from "purify-ts";
import { HostId, Incarnation } from "../../ids/index.js";
import { Clock, Connection, Timer } from "../../ports/index.js";
import { encodeFrame, FrameReader } from "../frame/index.js";
import { PeerRouter } from "../peerRouter/index.js";
import { TrafficWay } from "../peerTraffic/index.js";

/** Raised when a change is not readable by older processes; fields may be added without raising it. */
export const PROTOCOL_VERSION = 1;

/** Who is at one end of a channel. */
export interface PeerIdentity {
    readonly host: HostId;
    readonly incarnation: Incarnation;
}

/** How a channel finds out that its connection has gone silent. */
export interface PeerTiming {
    /** A ping goes out when nothing else has for this long, in milliseconds. */
    readonly heartbeatMs: number;
    /** The connection is reset when nothing has come in for this long, in milliseconds. */
    readonly silenceMs: number;
}

/** The timing used where settings give none. */
export const DEFAULT_PEER_TIMING: PeerTiming = { heartbeatMs: 500, silenceMs: 2_000 };

/** A call to a peer that got no answer, or an answer that says it failed. */
export class PeerError extends Error {
    /**
     * @param reason - What happened, in a word.
     * @param mayHaveArrived - False only when the peer can't have seen the call.
     * @param detail - For logs.
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

/** [kind, call id, method or error, body]; the hello carries version, host and incarnation in these places. */
type Frame = readonly [kind: FrameKind, id: number, name: string, body?: unknown];

/** What pings, and answers that nobody waits for any more, are counted as. */
const LINK_UPKEEP = "link";

interface PendingCall {
    readonly method: string;
    readonly settle: (result: Either<PeerError, unknown>) => void;
    readonly limit: Timer;
}

/** What a channel is made of. */
export interface PeerChannelOptions {
    readonly connection: Connection;
    readonly clock: Clock;
    readonly self: PeerIdentity;
    readonly router: PeerRouter;
    readonly timing: PeerTiming;
}

/**
 * Calls and notices, both ways, over one connection. One task reads it, from the hello to the end.
 *
 * Guards against connections that go silent for good while new ones work: both ends send pings, and an end that hears
 * nothing for `silenceMs` resets the connection, so that a new one is opened. A call's time limit runs beside that.
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
    private lastHeardAt: number;
    private ended = false;
    private identity: PeerIdentity | undefined;
    private whenReady: () => void = () => undefined;
    private whenEnded: () => void = () => undefined;

    /** Settles once the channel has ended. */
    readonly closed = new Promise<void>(resolve => {
        this.whenEnded = resolve;
    });

    /** Settles once the peer's hello has come, or the channel has ended without one. */
    readonly ready = new Promise<void>(resolve => {
        this.whenReady = resolve;
    });

    constructor(private readonly options: PeerChannelOptions) {
        this.reader = new FrameReader(options.connection);
        this.lastSentAt = options.clock.monotonic();
        this.lastHeardAt = this.lastSentAt;
    }

    /** Who is at the other end; undefined until its hello has come. */
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
        this.watchSilence();
        try {
            await this.readFrames();
        }
        catch {
            // Bytes that are no frame: the stream can't be trusted from here on, so the connection ends below.
        }
        this.reset();
    }

    /**
     * Asks the peer.
     *
     * @param method - What to ask.
     * @param body - A value msgpack can carry, or an `EncodedBody`.
     * @param timeoutMs - How long to wait for the answer, in milliseconds.
     * @returns The answer's body.
     */
    call(method: string, body: unknown, timeoutMs: number): Promise<Either<PeerError, unknown>> {
        if (!this.isOpen) return Promise.resolve(Left(new PeerError("unreachable", false, method)));
        const id = this.nextId++;
        return new Promise(resolve => {
            const limit = this.options.clock.after(
                timeoutMs,
                () => this.settle(id, Left(new PeerError("timeout", true, method))),
            );
            this.pending.set(id, { method, settle: resolve, limit });
            this.send([FrameKind.Call, id, method, body]);
        });
    }

    /**
     * Tells the peer something without waiting for an answer. Lost when the connection ends.
     *
     * @param body - As for `call`.
     */
    notify(method: string, body: unknown): void {
        if (this.isOpen) this.send([FrameKind.Notice, 0, method, body]);
    }

    /** Ends the connection at once, with what waits to be sent. Calls under way end as "lost". */
    reset(): void {
        if (this.ended) return;
        this.ended = true;
        this.options.connection.reset();
        for (const id of [...this.pending.keys()]) {
            this.settle(id, Left(new PeerError("lost", true, "connection ended")));
        }
        this.whenReady();
        this.whenEnded();
    }

    private async readFrames(): Promise<void> {
        for (;;) {
            const frame = await this.reader.next() as Frame | undefined;
            if (frame === undefined || this.ended) return;
            this.lastHeardAt = this.options.clock.monotonic();
            this.count("received", frame, this.reader.lastFrameBytes);
            if (!this.take(frame)) return;
        }
    }

    /** Acts on a frame. False ends the channel. */
    private take([kind, id, name, body]: Frame): boolean {
        if (kind === FrameKind.Hello) return this.takeHello(id, name, body as { incarnation: Incarnation; });
        if (!this.identity) return false;
        if (kind === FrameKind.Call) void this.answer(id, name, body);
        if (kind === FrameKind.Answer) this.settle(id, Right(body));
        if (kind === FrameKind.Failure) this.settle(id, Left(new PeerError("failed", true, name)));
        if (kind === FrameKind.Notice) void this.handle(name, body).catch(() => undefined);
        return true;
    }

    private takeHello(version: number, host: string, { incarnation }: { incarnation: Incarnation; }): boolean {
        if (version !== PROTOCOL_VERSION) return false;
        this.identity = { host: host as HostId, incarnation };
        this.whenReady();
        return true;
    }

    private async answer(id: number, method: string, body: unknown): Promise<void> {
        try {
            this.send([FrameKind.Answer, id, "", await this.handle(method, body)], method);
        }
        catch (err) {
            this.send([FrameKind.Failure, id, (err as Error).message], method);
        }
    }

    private async handle(method: string, body: unknown): Promise<unknown> {
        const handler = this.options.router.find(method);
        if (!handler) throw new Error(`no method ${method}`);
        return handler(body, this);
    }

    private settle(id: number, result: Either<PeerError, unknown>): void {
        const call = this.pending.get(id);
        if (!call) return;
        this.pending.delete(id);
        call.limit.cancel();
        call.settle(result);
    }

    /** @param answered - The method that an answer belongs to. */
    private send(frame: Frame, answered?: string): void {
        if (this.ended) return;
        this.lastSentAt = this.options.clock.monotonic();
        const bytes = encodeFrame(frame);
        this.count("sent", frame, bytes.length, answered);
        this.options.connection.send(bytes);
    }

    private count(way: TrafficWay, [kind, id, name]: Frame, bytes: number, answered?: string): void {
        const called = kind === FrameKind.Call || kind === FrameKind.Notice ? name : "";
        const method = answered ?? (isReply(kind) ? this.pending.get(id)?.method : called);
        this.options.router.traffic.note(way, method || LINK_UPKEEP, bytes);
    }

    private watchSilence(): void {
        const { clock, timing } = this.options;
        const look = (): void => {
            if (this.ended) return;
            const now = clock.monotonic();
            if (now - this.lastHeardAt >= timing.silenceMs) {
                this.reset();
                return;
            }
            if (now - this.lastSentAt >= timing.heartbeatMs) this.send([FrameKind.Ping, 0, ""]);
            clock.after(clock.untilTick(timing.heartbeatMs / 2), look);
        };
        clock.after(clock.untilTick(timing.heartbeatMs / 2), look);
    }
}

function isReply(kind: FrameKind): boolean {
    return kind === FrameKind.Answer || kind === FrameKind.Failure;
}
