import { AddressInfo, createServer, Server, Socket } from "node:net";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { Address, formatAddress } from "../../ports/index.js";
import { ANNOUNCE_PATH, Announcement } from "../../protocol/index.js";

/** A request that has arrived whole. */
export interface RawRequest {
    /** Id of the call; empty for requests that are no calls. */
    readonly id: string;
    readonly path: string;
    /** Id of the event behind which a stream goes on; undefined: it begins. */
    readonly lastEventId: string | undefined;
    /** Number of earlier requests on the connection. */
    readonly earlierRequests: number;
    /** Wall clock at its arrival, in milliseconds. */
    readonly at: number;
}

/** What a raw upstream does with a request. */
export interface RawReply {
    /** Whether it runs the request. */
    readonly runs: boolean;
    /** Bytes of the answer; undefined: none is sent. */
    readonly bytes?: string;
    /** Further bytes of the answer, which are sent one after the other. */
    readonly laterBytes?: readonly string[];
    /** Pause before each of the further bytes, in milliseconds. */
    readonly gapMs?: number;
    /** Sent again and again behind all other bytes, until the connection ends. */
    readonly endless?: string;
    /** Time before the answer, in milliseconds. */
    readonly delayMs: number;
    /** When the answer is sent once more: after a time in milliseconds, or as soon as the next request on the connection has come. */
    readonly copy?: number | "next-request";
    /** Whether the connection is reset after the answer. */
    readonly resets: boolean;
    /** Whether the connection is closed in order after the answer. */
    readonly closes?: boolean;
}

/** A request that a raw upstream began to run. */
export interface RawRun {
    readonly id: string;
    readonly upstream: string;
    /** Wall clock, in milliseconds. */
    readonly at: number;
}

/** Options of a raw upstream. */
export interface RawUpstreamOptions {
    readonly id: string;
    readonly pool: string;
    readonly zone: string;
    readonly slots: number;
    /** Undefined: not announced. */
    readonly softwareVersion?: string;
    /** Where it announces itself. */
    readonly announceTo: readonly Address[];
    readonly reply: (request: RawRequest) => RawReply;
}

const HOST = "127.0.0.1";
const ANNOUNCEMENT_INTERVAL_MS = 400;
const HEAD_END = "\r\n\r\n";

/**
 * An upstream that writes the bytes of its answers itself, so that it can send any answer at any time.
 *
 * @example
 * const upstream = await RawUpstream.start({ ...options, reply: ({ id }) => refuse(id) });
 */
export class RawUpstream {
    /** The requests that it began to run, in order. */
    readonly runs: RawRun[] = [];
    /** The calls that arrived, in order. */
    readonly arrivals: RawRequest[] = [];
    private readonly server: Server;
    private readonly open = new Set<Socket>();
    private announcements: NodeJS.Timeout | undefined;
    private sequence = 0;

    private constructor(private readonly options: RawUpstreamOptions) {
        this.server = createServer(socket => this.accept(socket));
    }

    /** Starts an upstream that announces itself until it is closed. */
    static async start(options: RawUpstreamOptions): Promise<RawUpstream> {
        const upstream = new RawUpstream(options);
        await new Promise<void>(resolve => upstream.server.listen(0, HOST, resolve));
        upstream.announcements = setInterval(() => upstream.announce(), ANNOUNCEMENT_INTERVAL_MS);
        upstream.announce();
        return upstream;
    }

    async close(): Promise<void> {
        clearInterval(this.announcements);
        for (const socket of this.open) socket.destroy();
        await new Promise(resolve => this.server.close(resolve));
    }

    private announce(): void {
        const { id, pool, zone, slots, softwareVersion, announceTo } = this.options;
        const { port } = this.server.address() as AddressInfo;
        const announcement: Announcement = {
            id,
            zone,
            slots,
            incarnation: 1,
            sequence: ++this.sequence,
            state: "ready",
            kind: "service",
            pools: [pool],
            address: formatAddress({ host: HOST, port }),
            load: { running: 0, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 },
            price_per_hour: 0,
            reclaimable: false,
            checks_fence: false,
            software_version: softwareVersion,
        };
        const headers = { "content-type": "application/json" };
        const message = { method: "POST", headers, body: JSON.stringify(announcement) };
        // One that gets no answer is followed by the next.
        for (const address of announceTo) {
            void fetch(`http://${formatAddress(address)}${ANNOUNCE_PATH}`, message).catch(() => undefined);
        }
    }

    private accept(socket: Socket): void {
        const connection = new RawConnection(socket, request => this.handle(connection, request));
        this.open.add(socket);
        socket.on("close", () => this.open.delete(socket));
    }

    private handle(connection: RawConnection, request: RawRequest): void {
        if (request.id !== "") this.arrivals.push(request);
        const reply = this.options.reply(request);
        if (reply.runs) this.runs.push({ id: request.id, upstream: this.options.id, at: Date.now() });
        setTimeout(() => void connection.answer(reply), reply.delayMs);
    }
}

/** One connection: splits what arrives into requests, and sends answers and their copies. */
class RawConnection {
    private received = "";
    private requests = 0;
    private copies: string[] = [];

    constructor(private readonly socket: Socket, private readonly handle: (request: RawRequest) => void) {
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.on("data", chunk => this.receive(chunk.toString("latin1")));
    }

    async answer({ bytes, laterBytes = [], gapMs = 0, endless, copy, resets, closes }: RawReply): Promise<void> {
        if (this.socket.destroyed) return;
        if (bytes !== undefined) this.socket.write(bytes, "latin1");
        for (const later of laterBytes) {
            await new Promise(resolve => setTimeout(resolve, gapMs));
            if (this.socket.destroyed) return;
            this.socket.write(later, "latin1");
        }
        if (endless !== undefined) await this.sendEndlessly(endless);
        if (bytes !== undefined && copy === "next-request") this.copies.push(bytes);
        if (bytes !== undefined && typeof copy === "number") this.sendLater(bytes, copy);
        if (resets) this.socket.resetAndDestroy();
        else if (closes) this.socket.end();
    }

    private async sendEndlessly(bytes: string): Promise<void> {
        const closed = new Promise<void>(resolve => this.socket.once("close", () => resolve()));
        while (!this.socket.destroyed) {
            const drained = new Promise<void>(resolve => this.socket.once("drain", () => resolve()));
            if (this.socket.write(bytes, "latin1")) await new Promise(resolve => setImmediate(resolve));
            else await Promise.race([drained, closed]);
        }
    }

    private sendLater(bytes: string, ms: number): void {
        const send = (): void => {
            if (!this.socket.destroyed) this.socket.write(bytes, "latin1");
        };
        if (ms === 0) send();
        else setTimeout(send, ms);
    }

    private receive(text: string): void {
        this.received += text;
        for (;;) {
            const headEnd = this.received.indexOf(HEAD_END);
            if (headEnd < 0) return;
            const head = this.received.slice(0, headEnd);
            const end = headEnd + HEAD_END.length + Number(readHeader(head, "content-length") ?? 0);
            if (this.received.length < end) return;
            this.received = this.received.slice(end);
            for (const copy of this.copies.splice(0)) this.socket.write(copy, "latin1");
            const [, path = ""] = head.split(" ", 2);
            const id = readHeader(head, CALL_HEADERS.request) ?? "";
            const lastEventId = readHeader(head, CALL_HEADERS.lastEventId);
            this.handle({ path, id, lastEventId, earlierRequests: this.requests++, at: Date.now() });
        }
    }
}

function readHeader(head: string, name: string): string | undefined {
    const line = head.split("\r\n").find(text => text.toLowerCase().startsWith(`${name}:`));
    return line?.slice(name.length + 1).trim();
}
