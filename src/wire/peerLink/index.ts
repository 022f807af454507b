import { Either, Left } from "purify-ts";
import { Address, Clock, formatAddress, Network, Random } from "../../ports/index.js";
import { PeerChannel, PeerError, PeerIdentity, PeerTiming } from "../peerChannel/index.js";
import { PeerRouter } from "../peerRouter/index.js";

/** What a link to a peer is made of. */
export interface PeerLinkOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly random: Random;
    readonly address: Address;
    readonly self: PeerIdentity;
    /** What this end answers when the peer calls back. */
    readonly router: PeerRouter;
    readonly timing: PeerTiming;
    /** Called each time a channel has opened, for example to subscribe again. */
    readonly onOpen?: (channel: PeerChannel) => void;
}

/**
 * How long a connection may take to open, in milliseconds: less than the second after which a lost opening packet is sent again. A host
 * that is just starting answers nothing, and waiting for that repeat would cost most of a second after it is back.
 */
const CONNECT_MS = 300;
const FIRST_RETRY_MS = 50;
const LAST_RETRY_MS = 1_000;

/**
 * Keeps a channel open to one peer: one task that connects, serves the channel to its end and connects again, with
 * growing and scattered pauses.
 *
 * @example
 * const link = new PeerLink(options);
 * lifecycle.run(signal => link.run(signal), logError);
 */
export class PeerLink {
    private channel: PeerChannel | undefined;
    /** Settles when the connection that is being made has opened or failed; undefined while none is. */
    private opening: Promise<boolean> | undefined;

    constructor(private readonly options: PeerLinkOptions) {}

    get isOpen(): boolean {
        return this.channel?.isOpen ?? false;
    }

    /** Who answers at the address; undefined while no channel is open. */
    get peer(): PeerIdentity | undefined {
        return this.channel?.peer;
    }

    /** Runs until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random } = this.options;
        const close = (): void => this.channel?.reset();
        signal.addEventListener("abort", close);
        let retryMs = FIRST_RETRY_MS;
        while (!signal.aborted) {
            const opened = await this.serveOneChannel(signal);
            retryMs = opened ? FIRST_RETRY_MS : Math.min(retryMs * 2, LAST_RETRY_MS);
            await clock.sleep(random.between(retryMs / 2, retryMs), signal);
        }
        signal.removeEventListener("abort", close);
    }

    /**
     * Waits for a connection that is just being made.
     *
     * @param limitMs - How long to wait, in milliseconds.
     * @returns Whether a channel is open; false at once between two tries.
     */
    async awaitOpen(limitMs: number): Promise<boolean> {
        if (this.isOpen || !this.opening) return this.isOpen;
        const limit = new AbortController();
        await Promise.race([this.opening, this.options.clock.sleep(limitMs, limit.signal)]);
        limit.abort();
        return this.isOpen;
    }

    /** Asks the peer; "unreachable" at once while no channel is open. */
    call(method: string, body: unknown, timeoutMs: number): Promise<Either<PeerError, unknown>> {
        if (!this.channel) {
            const detail = `${method} to ${formatAddress(this.options.address)}`;
            return Promise.resolve(Left(new PeerError("unreachable", false, detail)));
        }
        return this.channel.call(method, body, timeoutMs);
    }

    /** Tells the peer something; lost while no channel is open. */
    notify(method: string, body: unknown): void {
        this.channel?.notify(method, body);
    }

    /** Ends the open channel, if any; the task opens the next. */
    reset(): void {
        this.channel?.reset();
    }

    private async serveOneChannel(signal: AbortSignal): Promise<boolean> {
        this.opening = this.openChannel(signal);
        const opened = await this.opening;
        this.opening = undefined;
        await this.channel?.closed;
        this.channel = undefined;
        return opened;
    }

    private async openChannel(signal: AbortSignal): Promise<boolean> {
        const { network, address, clock, self, router, timing, onOpen } = this.options;
        const connected = await network.connect(address, Math.min(CONNECT_MS, timing.silenceMs));
        const connection = connected.orDefault(undefined as never);
        if (!connection) return false;
        const channel = new PeerChannel({ connection, clock, self, router, timing });
        this.channel = channel;
        if (signal.aborted) channel.reset();
        void channel.run();
        await channel.ready;
        if (channel.isOpen) onOpen?.(channel);
        return channel.isOpen;
    }
}
