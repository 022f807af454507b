import { connect, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { Address } from "../../../ports/index.js";
import { CrowdBytes } from "../crowdShapes/index.js";

/** Options of a crowd. */
export interface CrowdOptions {
    readonly address: Address;
    /** Number of connections. */
    readonly connections: number;
    /** Returns what a connection sends. */
    readonly bytesOf: (id: string) => CrowdBytes;
    /** Whether answers are read; true by default. */
    readonly reads?: boolean;
}

/** A crowd has settled when none of its connections could send a byte for this long, in milliseconds. */
const SETTLED_MS = 1_500;
/** A crowd that goes on sending counts as settled after this long, in milliseconds. */
const MAX_SETTLE_MS = 10_000;
const POLL_MS = 50;
const MAX_ANSWER_LENGTH = 1_000;
const STATUS_PATTERN = /HTTP\/1\.1 (\d{3})/g;

/**
 * Connections that send something at the same time and stay open until the crowd leaves or the server closes them.
 *
 * @example
 * const crowd = new Crowd({ address, connections: 60, bytesOf: id => sendWithLength(request, id) });
 * await crowd.settle();
 * await crowd.leave();
 */
export class Crowd {
    private readonly members: CrowdMember[];

    constructor(options: CrowdOptions) {
        this.members = Array.from(
            { length: options.connections },
            (_, number) => new CrowdMember(options, `crowd-${number}`),
        );
    }

    /** Resolves when no connection can send more: all has been sent, or the server has closed it or reads no further. */
    async settle(): Promise<void> {
        const giveUpAt = performance.now() + MAX_SETTLE_MS;
        let sent = -1;
        let sentAt = performance.now();
        while (performance.now() < giveUpAt && performance.now() - sentAt < SETTLED_MS && this.isSending) {
            if (this.sentBytes !== sent) sentAt = performance.now();
            sent = this.sentBytes;
            await sleep(POLL_MS);
        }
    }

    /** Resolves when each connection has an answer or is closed. */
    async awaitAnswers(): Promise<void> {
        while (this.members.some(({ statuses, isClosed }) => statuses.length === 0 && !isClosed)) await sleep(POLL_MS);
    }

    /** Whether some connection still has something to send. */
    get isSending(): boolean {
        return this.members.some(({ isSending }) => isSending);
    }

    /** Bytes that the operating system has taken of all connections. */
    get sentBytes(): number {
        return this.members.reduce((sum, { sentBytes }) => sum + sentBytes, 0);
    }

    /** Number of answers by status, with that of connections that the server has closed. */
    describe(): string {
        const counts = new Map<string, number>();
        const count = (name: string): void => void counts.set(name, (counts.get(name) ?? 0) + 1);
        for (const { statuses, isClosed } of this.members) {
            statuses.forEach(count);
            if (isClosed) count("closed");
        }
        return [...counts].map(([name, number]) => `${name}: ${number}`).join(", ") || "no answers";
    }

    /** Returns the answers with a status that say nothing about when to come back, or that don't say that the request has not run. */
    findBareRefusals(status: string): string[] {
        const texts = this.members.map(({ answer }) => answer).filter(text => text.startsWith(`HTTP/1.1 ${status}`));
        return texts.filter(text => !/^retry-after: /im.test(text) || !/not-run/.test(text));
    }

    /** Resets all connections. */
    async leave(): Promise<void> {
        await Promise.all(this.members.map(member => member.leave()));
    }
}

class CrowdMember {
    readonly statuses: string[] = [];
    isSending = true;
    /** The beginning of the first answer. */
    answer = "";
    private readonly socket: Socket;
    private readonly closed: Promise<void>;
    private wake = (): void => undefined;

    constructor({ address, bytesOf, reads = true }: CrowdOptions, id: string) {
        this.socket = connect({ ...address, noDelay: true });
        this.closed = new Promise(resolve => this.socket.once("close", () => resolve()));
        this.socket.on("error", () => undefined);
        this.socket.on("drain", () => this.wake());
        this.socket.once("close", () => this.wake());
        if (reads) this.socket.on("data", chunk => this.readStatuses(chunk));
        void this.send(bytesOf(id));
    }

    get isClosed(): boolean {
        return this.socket.destroyed;
    }

    get sentBytes(): number {
        return this.socket.bytesWritten - this.socket.writableLength;
    }

    async leave(): Promise<void> {
        if (!this.socket.destroyed) this.socket.resetAndDestroy();
        await this.closed;
    }

    private async send(bytes: CrowdBytes): Promise<void> {
        for (const part of bytes) {
            if (this.socket.destroyed) break;
            if (!this.socket.write(part)) await new Promise<void>(resolve => this.wake = resolve);
        }
        while (!this.socket.destroyed && this.socket.writableLength > 0) await sleep(POLL_MS);
        this.isSending = false;
    }

    private readStatuses(chunk: Buffer): void {
        if (this.answer.length < MAX_ANSWER_LENGTH) this.answer += chunk.toString("latin1");
        for (const [, status] of chunk.toString("latin1").matchAll(STATUS_PATTERN)) this.statuses.push(status);
    }
}
