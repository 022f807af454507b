import { IncomingMessage, Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { CallerHolding } from "../callerBudget/index.js";
import { ConnectionIntake, ServerResources } from "../connectionIntake/index.js";
import { OpenAnswers } from "../http/index.js";
import { BodyFraming } from "../requestBounds/index.js";

/** Time for which a connection is still read after its end was sent, in milliseconds. */
const LINGER_MS = 1_000;

/** Memory of a request under way without its body, in bytes. */
const REQUEST_BYTES = 24 * 1_024;

/** A request under way. */
export interface OpenRequest {
    /** What its connection holds. */
    readonly holding: CallerHolding;
    /** Whether there was room for it. One without room is refused. */
    readonly hasRoom: boolean;
}

/** State of one connection. */
interface ConnectionState {
    /** Requests whose responses have not been sent whole, in their order. */
    readonly open: Map<ServerResponse, OpenRequest>;
    /** Whether the caller has been told that the connection ends, or its end was sent. */
    isEnding: boolean;
    /** Bytes that had been parsed when the latest response had been sent. */
    bytesAnswered: number;
    readonly holding: CallerHolding;
    readonly intake: ConnectionIntake;
}

/**
 * The connections of an HTTP server and their open responses.
 *
 * Node destroys a connection as idle when its response has been ended, even if the operating system has not taken all of it, and
 * keeps one whose response ends after `closeIdleConnections`. Here a connection ends after its last response was sent.
 *
 * @example
 * const connections = new ServerConnections(server, resources);
 * connections.announceClose();
 * connections.endIdle();
 * await connections.whenAnswered();
 */
export class ServerConnections {
    private readonly states = new Map<Socket, ConnectionState>();
    private readonly open = new Set<ServerResponse>();
    private isClosing = false;
    private waiters: (() => void)[] = [];

    constructor(server: Server, private readonly resources: ServerResources) {
        // `Server.close` calls it.
        server.closeIdleConnections = () => this.endIdle();
        server.on("connection", (socket: Socket) => this.add(socket));
        server.prependListener("request", (req: IncomingMessage, res: ServerResponse) => this.addResponse(req, res));
    }

    /**
     * Returns a request that has begun; undefined for one that must not be handled. One that comes after its caller was told that the
     * connection ends is not: its answer could not be sent.
     */
    find({ socket }: IncomingMessage, res: ServerResponse): OpenRequest | undefined {
        return this.states.get(socket)?.open.get(res);
    }

    /**
     * Decides whether a response ends its connection, when its head is sent. A response does not if later requests on its connection
     * are being handled, or have arrived and wait.
     *
     * @param isWanted - Whether the handler wants the connection to end.
     */
    decideEnd(res: ServerResponse, isWanted: boolean): boolean {
        const state = this.states.get(res.req.socket);
        if (!state || [...state.open.keys()].at(-1) !== res) return false;
        if (state.intake.hasWaiting && res.shouldKeepAlive) return false;
        state.isEnding ||= isWanted || this.isClosing || !res.shouldKeepAlive;
        return state.isEnding;
    }

    /** Bounds what is still read of the body of a request that has been answered, in bytes. */
    limitRest({ socket }: IncomingMessage, maxBytes: number): void {
        this.states.get(socket)?.intake.limitRest(maxBytes);
    }

    /** Closes each connection as soon as its responses have been sent, from now on. */
    announceClose(): void {
        this.isClosing = true;
    }

    /** Closes the connections without a response under way, except those on which nothing has arrived so far. */
    endIdle(): void {
        for (const socket of this.states.keys()) {
            if (socket.bytesRead > 0 && this.isIdle(socket)) this.end(socket);
        }
    }

    /** Closes a connection if nothing has arrived on it since its last answer. */
    endIfIdle(socket: Socket): void {
        if (this.states.has(socket) && this.isIdle(socket)) this.end(socket);
    }

    /** Closes the connections on which nothing has arrived. */
    endUnused(): void {
        for (const socket of this.states.keys()) {
            if (socket.bytesRead === 0) this.end(socket);
        }
    }

    /** Counts the responses that have not been sent whole. */
    countOpen(): OpenAnswers {
        const unsentBytes = [...this.open].reduce((sum, { writableLength }) => sum + writableLength, 0);
        return { requests: this.open.size, unsentBytes };
    }

    /** Resolves once there is no request without a response that the operating system has taken whole. */
    whenAnswered(): Promise<void> {
        if (this.open.size === 0) return Promise.resolve();
        return new Promise(resolve => this.waiters.push(resolve));
    }

    /** Whether nothing has arrived that is not answered; part of a request's head is answered when the rest has come. */
    private isIdle(socket: Socket): boolean {
        const { open, bytesAnswered } = this.states.get(socket)!;
        return open.size === 0 && socket.bytesRead === bytesAnswered;
    }

    private add(socket: Socket): void {
        const holding = this.resources.budget.open();
        const intake = new ConnectionIntake(socket, holding, this.resources);
        this.states.set(socket, { open: new Map(), isEnding: false, bytesAnswered: 0, holding, intake });
        socket.once("close", () => {
            this.states.delete(socket);
            holding.close();
        });
    }

    private addResponse(req: IncomingMessage, res: ServerResponse): void {
        const { socket } = req;
        const state = this.states.get(socket);
        if (!state) return;
        state.intake.beginRequest(findFraming(req));
        if (state.isEnding) {
            if (state.open.size === 0) socket.destroy();
            return;
        }
        const hasRoom = state.holding.tryGrow(REQUEST_BYTES);
        state.open.set(res, { holding: state.holding, hasRoom });
        this.open.add(res);
        res.once("finish", () => this.removeResponse(socket, state, res));
        res.once("close", () => this.removeResponse(socket, state, res));
    }

    private removeResponse(socket: Socket, state: ConnectionState, res: ServerResponse): void {
        const request = state.open.get(res);
        if (!request) return;
        state.open.delete(res);
        this.open.delete(res);
        if (request.hasRoom) state.holding.shrink(REQUEST_BYTES);
        state.bytesAnswered = state.intake.parsedBytes;
        state.intake.endRequest();
        if (this.isClosing && state.open.size === 0 && !state.intake.hasWaiting) this.end(socket);
        if (this.open.size > 0) return;
        for (const resolve of this.waiters.splice(0)) resolve();
    }

    /** Sends the end of a connection, and reads on for a while: closing with unread data would reset it and lose what was sent. */
    private end(socket: Socket): void {
        const state = this.states.get(socket);
        if (!state) return;
        state.isEnding = true;
        socket.end();
        const timer = setTimeout(() => socket.destroy(), LINGER_MS);
        socket.once("close", () => clearTimeout(timer));
    }
}

function findFraming({ headers }: IncomingMessage): BodyFraming {
    if (headers["transfer-encoding"] !== undefined) return { kind: "chunked" };
    return { kind: "length", bytes: Number(headers["content-length"] ?? 0) };
}
