import { Either, Left } from "purify-ts";
import { Address, Clock, formatAddress, Network, Random } from "../../ports/index.js";
import { PeerChannel, PeerError, PeerIdentity, PeerTiming } from "../peerChannel/index.js";
import { PeerRouter } from "../peerRouter/index.js";

/** Options of a link to a peer. */
export interface PeerLinkOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly random: Random;
    readonly address: Address;
    readonly self: PeerIdentity;
    /** Methods that this end provides to the peer. */
    readonly router: PeerRouter;
    readonly timing: PeerTiming;
    /** Called each time a channel has opened, for example to renew a subscription. */
    readonly onOpen?: (channel: PeerChannel) => void;
}

/**
 * Timeout for opening a connection, in milliseconds. Less than the second after which a lost opening packet is
 * retransmitted: a host that is still starting replies to nothing, and waiting for the retransmission would cost most
 * of a second after it is back.
 */
const CONNECT_TIMEOUT_MS = 300;
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 1_000;

/**
 * Keeps a channel to one peer open. One task connects, serves the channel until it ends and reconnects with growing,
 * randomized delays.
 *
 * @example
 * const link = new PeerLink(options);
 * lifecycle.run(signal => link.run(signal), logError);
 */
export class PeerLink {
    private channel: PeerChannel | undefined;
    /** Resolves when the connection attempt in progress has succeeded or failed; undefined when none is in progress. */
    private pendingOpen: Promise<boolean> | undefined;

    constructor(private readonly options: PeerLinkOptions) {}

    get isOpen(): boolean {
        return this.channel?.isOpen ?? false;
    }

    /** Identity of the peer; undefined while no channel is open. */
    get peer(): PeerIdentity | undefined {
        return this.channel?.peer;
    }

    /** Runs until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random } = this.options;
        const close = (): void => this.channel?.reset();
        signal.addEventListener("abort", close);
        let retryMs = MIN_RETRY_MS;
        while (!signal.aborted) {
            const opened = await this.serveOneChannel(signal);
            retryMs = opened ? MIN_RETRY_MS : Math.min(retryMs * 2, MAX_RETRY_MS);
            await clock.sleep(random.between(retryMs / 2, retryMs), signal);
        }
        signal.removeEventListener("abort", close);
    }

    /**
     * Waits for the connection attempt in progress, if any.
     *
     * @param timeoutMs - Maximum waiting time, in milliseconds.
     * @returns Whether a channel is open. Returns false immediately between two attempts.
     */
    async awaitOpen(timeoutMs: number): Promise<boolean> {
        if (this.isOpen || !this.pendingOpen) return this.isOpen;
        const timeout = new AbortController();
        await Promise.race([this.pendingOpen, this.options.clock.sleep(timeoutMs, timeout.signal)]);
        timeout.abort();
        return this.isOpen;
    }

    /** Calls a method of the peer. Fails immediately with "unreachable" while no channel is open. */
    call(method: string, body: unknown, timeoutMs: number): Promise<Either<PeerError, unknown>> {
        if (!this.channel) {
            const detail = `${method} to ${formatAddress(this.options.address)}`;
            return Promise.resolve(Left(new PeerError("unreachable", false, detail)));
        }
        return this.channel.call(method, body, timeoutMs);
    }

    /** Sends a notice to the peer. It is lost while no channel is open. */
    notify(method: string, body: unknown): void {
        this.channel?.notify(method, body);
    }

    /** Closes the open channel, if any. The task then opens a new one. */
    reset(): void {
        this.channel?.reset();
    }

    private async serveOneChannel(signal: AbortSignal): Promise<boolean> {
        this.pendingOpen = this.openChannel(signal);
        const opened = await this.pendingOpen;
        this.pendingOpen = undefined;
        await this.channel?.closed;
        this.channel = undefined;
        return opened;
    }

    private async openChannel(signal: AbortSignal): Promise<boolean> {
        const { network, address, clock, self, router, timing, onOpen } = this.options;
        const connected = await network.connect(address, Math.min(CONNECT_TIMEOUT_MS, timing.silenceMs));
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
