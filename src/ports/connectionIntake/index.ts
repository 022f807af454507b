import { Socket } from "node:net";
import { CallerBudget, CallerHolding } from "../callerBudget/index.js";
import { ReceivedGarbage } from "../receivedGarbage/index.js";
import { BodyFraming, RequestBounds } from "../requestBounds/index.js";
import { SteppedTask, TurnQueue } from "../turnQueue/index.js";

/** What the connections of all HTTP servers of a process share. */
export interface ServerResources {
    /** Bounds what their callers hold together. */
    readonly budget: CallerBudget;
    /** Turns in which they are parsed. */
    readonly queue: TurnQueue;
    /** What was read of them and is not needed any more. */
    readonly garbage: ReceivedGarbage;
}

/** Number of chunks that are parsed in one step: each costs far more than its bytes. */
const CHUNKS_PER_STEP = 64;
/** Number of a connection's requests that are under way at a time; the next ones wait unread, since answers go out in order. */
const MAX_REQUESTS_UNDER_WAY = 8;

/**
 * Hands the bytes of a connection to the HTTP parser in small steps. The connection is not read meanwhile.
 *
 * Node parses all that has arrived at once: thousands of chunks, or of requests, of one connection before anything of another one.
 *
 * @example
 * const intake = new ConnectionIntake(socket, holding, resources);
 * intake.beginRequest({ kind: "chunked" });
 */
export class ConnectionIntake implements SteppedTask {
    private readonly bounds = new RequestBounds();
    private readonly push: (bytes: Uint8Array | null) => boolean;
    /** Bytes that have been read and wait to be parsed. */
    private held: Uint8Array | undefined;
    /** Bytes of these that the holding has paid for. */
    private paidBytes = 0;
    private hasEnded = false;
    private requestsUnderWay = 0;
    /** Bytes of a body that nobody needs that are still taken. */
    private unneededLeft = Number.POSITIVE_INFINITY;
    private isQueued = false;
    private isStepping = false;

    /**
     * @param socket - Has been handed to an HTTP server, and has not been read.
     * @param holding - Pays for the bytes that wait for their turn.
     */
    constructor(
        private readonly socket: Socket,
        private readonly holding: CallerHolding,
        private readonly resources: ServerResources,
    ) {
        this.push = socket.push.bind(socket);
        const read = socket._read.bind(socket);
        // With a listener for data, the server no longer takes the bytes from below the stream.
        socket.on("data", ignore);
        socket.removeListener("data", ignore);
        socket.push = (bytes: Uint8Array | null) => this.receive(bytes);
        socket._read = size => {
            if (this.held === undefined) read(size);
        };
        socket.on("resume", () => this.wake());
    }

    /** Bytes that have been handed to the parser. */
    get parsedBytes(): number {
        return this.socket.bytesRead - (this.held?.length ?? 0);
    }

    /** Whether bytes that have arrived wait to be parsed. */
    get hasWaiting(): boolean {
        return this.held !== undefined;
    }

    /** Records a request whose head has just been parsed, and how its body is framed. */
    beginRequest(framing: BodyFraming): void {
        this.requestsUnderWay++;
        this.unneededLeft = Number.POSITIVE_INFINITY;
        this.bounds.beginBody(framing);
    }

    /** Records that a request has its whole answer. */
    endRequest(): void {
        this.requestsUnderWay--;
        this.wake();
    }

    /**
     * Stops reading once more of the present body has come than the caller may have sent before it could read the answer.
     *
     * @param maxBytes - Maximum number of these bytes.
     */
    limitRest(maxBytes: number): void {
        this.unneededLeft = maxBytes;
    }

    /** Hands over a head with the beginning of its body, or more of a body. Returns whether more can be handed over. */
    step(): boolean {
        this.isQueued = false;
        if (!this.mayStep()) return false;
        this.isStepping = true;
        const isHead = this.bounds.isInHead;
        this.handOver();
        if (isHead && !this.bounds.isInHead && this.mayStep()) this.handOver();
        this.isStepping = false;
        if (this.held === undefined) this.giveBack();
        if (this.held === undefined && this.hasEnded) this.push(null);
        this.isQueued = this.mayStep();
        return this.isQueued;
    }

    private handOver(): void {
        const bytes = this.held!;
        const length = this.bounds.measure(bytes, CHUNKS_PER_STEP);
        this.unneededLeft -= length;
        this.held = length < bytes.length ? bytes.subarray(length) : undefined;
        this.push(bytes.subarray(0, length));
    }

    /** Takes what has been read from the connection. Returns whether to read on. */
    private receive(bytes: Uint8Array | null): boolean {
        if (bytes === null) {
            this.hasEnded = true;
            return this.held === undefined && this.push(bytes);
        }
        if (bytes.length === 0) return true;
        this.resources.garbage.add(bytes.length);
        this.held = this.held ? Buffer.concat([this.held, bytes]) : bytes;
        if (!this.isQueued && !this.isStepping && this.step()) this.resources.queue.add(this);
        this.pay();
        return this.held === undefined;
    }

    /** Where there is no room for what waits, the request that it belongs to gives way. */
    private pay(): void {
        const bytes = (this.held?.length ?? 0) - this.paidBytes;
        if (bytes <= 0) return;
        if (this.holding.tryGrow(bytes)) this.paidBytes += bytes;
        else this.holding.evict();
    }

    private giveBack(): void {
        this.holding.shrink(this.paidBytes);
        this.paidBytes = 0;
    }

    private wake(): void {
        if (this.isQueued || !this.mayStep()) return;
        this.isQueued = true;
        this.resources.queue.add(this);
    }

    private mayStep(): boolean {
        return this.held !== undefined && !this.socket.destroyed && this.isWanted();
    }

    /** The server pauses the stream while the caller doesn't read its answers, or the handler the body. */
    private isWanted(): boolean {
        if (this.bounds.isInHead && this.requestsUnderWay >= MAX_REQUESTS_UNDER_WAY) return false;
        return this.unneededLeft > 0 && !this.socket.isPaused();
    }
}

function ignore(): void {
    // Only the listener's presence counts.
}
