import { Either, Left, Right } from "purify-ts";
import { Clock, Random } from "../../ports/index.js";
import { PeerError, PeerLink } from "../../wire/index.js";
import { DEMAND_METHOD, DemandReport } from "../demandReport/index.js";
import { COMMAND_METHOD, CommandReply, EntryCommand } from "../entryCommand/index.js";
import { FORWARD_METHOD, ForwardRequest } from "../holderForwarder/index.js";
import { EntryView, VIEW_PULL_METHOD, ViewChange, ViewPull, ViewPullReply } from "../view/index.js";
import { ViewCache } from "../viewCache/index.js";

/** Timeout of one attempt of a command, after which another control host is tried, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 1_500;
/** Maximum delay after a failed attempt, in milliseconds; randomized. */
const RETRY_DELAY_MS = 40;
/** Time that a pull may take beyond the holder's wait, in milliseconds. */
const PULL_MARGIN_MS = 1_500;
/** Time that a call may take longer by way of another control process, in milliseconds. */
const FORWARD_MARGIN_MS = 200;
const DEFAULT_PULL_WAIT_MS = 2_000;
/** Interval at which a pending pull checks whether the view has become stale, in milliseconds. */
const STALE_CHECK_INTERVAL_MS = 200;

/** Time without a fresh view after which other entries may have forgotten this one, in milliseconds. */
const MAX_STALE_MS = 5_000;
/** Time after which an entry that was forgotten is known to all others again, in milliseconds. */
const KNOWN_AGAIN_MS = 10_000;

/** A link to one control host. */
export type ControlLink = Pick<PeerLink, "isOpen" | "peer" | "call" | "notify">;

/** Identity and addresses of the entry, sent with each pull. */
export type EntryIdentity = Pick<
    ViewPull,
    "host" | "incarnation" | "zone" | "peerAddress" | "adminAddress" | "relayAddress" | "ownsQueues"
>;

/** The part of a reply that describes the list of entries. */
type EntryList = Omit<ViewPullReply, "change" | "leaseMs" | "controls">;

/** Options of `ControlClient`. */
export interface ControlClientOptions {
    /** Links to the control hosts; the array may change while the client runs. */
    readonly links: readonly ControlLink[];
    readonly clock: Clock;
    readonly random: Random;
    readonly self: EntryIdentity;
    readonly cache: ViewCache;
    /** Maximum time that the holder keeps a pull waiting for a change, in milliseconds. */
    readonly pullWaitMs?: number;
    /** Called after each change applied to the cache, for instance to check connections whose key may have been withdrawn. */
    readonly onChange?: (change: ViewChange) => void;
    /** Called when the list of entries has changed. */
    readonly onEntries?: (entries: readonly EntryView[]) => void;
    /** Called with the `IP:port` of the control processes on each reply that lists them. */
    readonly onControls?: (addresses: readonly string[]) => void;
}

/** A command got no reply in time. */
export class ControlClientError extends Error {
    /** @param mayHaveApplied - False only when the command was not applied and can't be applied later. */
    constructor(readonly mayHaveApplied: boolean, detail: string) {
        super(detail);
    }
}

/**
 * An entry's client of the control hosts: a task that keeps the view fresh, and commands to the holder of the lease.
 *
 * Prevents the use of an outdated view: the freshness lease is counted by `Clock.monotonicWithSuspend` from when the pull was sent, so an
 * entry that was partitioned, frozen or suspended finds its view stale no later than the holder does.
 *
 * @example
 * lifecycle.run(signal => client.run(signal), logError);
 * const reply = await client.command(command, 2_000);
 */
export class ControlClient {
    private linkIndex = 0;
    /** Time by `Clock.monotonicWithSuspend` at which the freshness lease ends, in milliseconds. */
    private freshUntil = -Infinity;
    /** Time by the same clock until which other entries may not know this one again. */
    private forgottenUntil = -Infinity;
    private draining = false;
    private entryList: readonly EntryView[] = [];
    private entriesVersion: string | undefined;
    private hasPulled = false;
    /** The holder, while this entry has no open link to it and another control process passes calls on. */
    private unreachableHolder: string | undefined;

    constructor(private readonly options: ControlClientOptions) {}

    /** The entries known to the holder, including this one. */
    get entries(): readonly EntryView[] {
        return this.entryList;
    }

    /** The link to the presumed holder; undefined without any links. */
    get holderLink(): ControlLink | undefined {
        return this.options.links.length === 0 ? undefined : this.currentLink();
    }

    /** True while new work may be accepted based on the view in the cache. */
    isFresh(): boolean {
        return this.options.clock.monotonicWithSuspend() < this.freshUntil;
    }

    /**
     * Whether other entries may not count this one, since it had no fresh view for some seconds: it must not use a share of what they
     * divide among those that they know.
     */
    mayBeForgotten(): boolean {
        const now = this.options.clock.monotonicWithSuspend();
        return now > this.freshUntil + MAX_STALE_MS || now < this.forgottenUntil;
    }

    /** Sets whether further pulls announce that this entry is about to stop. */
    setDraining(draining: boolean): void {
        this.draining = draining;
    }

    /** Keeps the view fresh until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (await this.pullOnce()) continue;
            await this.pause(signal);
        }
    }

    /**
     * Sends a command to the holder. It is resent when no reply arrives: entry commands are idempotent, and a repeated one returns its
     * first result.
     *
     * @param timeoutMs - Total timeout over all attempts, in milliseconds.
     * @returns The state machine's result.
     */
    async command<Result>(command: EntryCommand, timeoutMs: number): Promise<Either<ControlClientError, Result>> {
        const { clock } = this.options;
        const deadline = clock.monotonic() + timeoutMs;
        let mayHaveApplied = false;
        for (;;) {
            const leftMs = deadline - clock.monotonic();
            if (leftMs <= 0) return Left(new ControlClientError(mayHaveApplied, `${command.kind}: no answer in time`));
            const reply = await this.tryCommand(command, Math.min(ATTEMPT_TIMEOUT_MS, leftMs));
            if (reply.kind === "applied") return Right(reply.result as Result);
            if (reply.kind === "failed") mayHaveApplied ||= reply.mayCommit;
            const holder = reply.kind === "not-holder" ? reply.holder : undefined;
            if (this.leaveLink(holder)) continue;
            await this.pause();
        }
    }

    /** Reports the demand of the pools owned here to the holder. A lost report is not resent, since the next one replaces it. */
    async reportDemand(report: DemandReport): Promise<void> {
        await this.callHolder(DEMAND_METHOD, report, ATTEMPT_TIMEOUT_MS);
    }

    private async tryCommand(command: EntryCommand, timeoutMs: number): Promise<CommandReply> {
        const answer = await this.callHolder(COMMAND_METHOD, command, timeoutMs);
        return answer.caseOf<CommandReply>({
            Left: err => ({ kind: "failed", mayCommit: err.mayHaveArrived, reason: err.message }),
            Right: reply => reply as CommandReply,
        });
    }

    /** Pulls once; returns false when the attempt failed and a delay is needed. */
    private async pullOnce(): Promise<boolean> {
        const { clock, self, cache, pullWaitMs = DEFAULT_PULL_WAIT_MS } = this.options;
        const waitMs = this.hasPulled ? pullWaitMs : 0;
        const { draining, entriesVersion } = this;
        const pull: ViewPull = {
            ...self,
            revision: cache.revision,
            waitMs,
            draining,
            entriesVersion,
            takesPacked: true,
            takesEntryChanges: true,
        };
        const sentAt = clock.monotonicWithSuspend();
        const pending = this.callHolder(VIEW_PULL_METHOD, pull, waitMs + PULL_MARGIN_MS);
        const answer = await this.raceStaleness(pending, waitMs);
        if (!answer) {
            this.hasPulled = false;
            return true;
        }
        answer.ifLeft(err => this.leaveLink(/not-holder (\S+)/.exec(err.message)?.[1]));
        answer.ifRight(reply => this.applyReply(reply as ViewPullReply, sentAt));
        return answer.isRight();
    }

    /**
     * Waits for a pull's reply until the view becomes stale. Otherwise an entry could refuse calls for seconds although it can reach a control
     * process: a jump of the wall clock looks like sleep and makes the view stale at once, and a pull that waits for a change would renew it
     * only at the end of that wait.
     *
     * @returns The reply; undefined when the view became stale first. A later reply is ignored.
     */
    private raceStaleness<Answer>(pending: Promise<Answer>, waitMs: number): Promise<Answer | undefined> {
        if (waitMs === 0 || !this.isFresh()) return pending;
        const { clock } = this.options;
        return new Promise(resolve => {
            const check = (): void => {
                if (!this.isFresh()) resolve(undefined);
                else timer = clock.after(clock.msUntilTick(STALE_CHECK_INTERVAL_MS), check);
            };
            let timer = clock.after(clock.msUntilTick(STALE_CHECK_INTERVAL_MS), check);
            void pending.then(answer => {
                timer.cancel();
                resolve(answer);
            });
        });
    }

    private applyReply({ change, leaseMs, controls, ...list }: ViewPullReply, sentAt: number): void {
        const { cache, onChange, onEntries } = this.options;
        const isApplied = change !== undefined && cache.apply(change);
        this.hasPulled = true;
        const now = this.options.clock.monotonicWithSuspend();
        const wasForgotten = this.freshUntil > -Infinity && now > this.freshUntil + MAX_STALE_MS;
        if (wasForgotten) this.forgottenUntil = now + KNOWN_AGAIN_MS;
        this.freshUntil = Math.max(this.freshUntil, sentAt + leaseMs);
        if (isApplied) onChange?.(change);
        if (controls) this.options.onControls?.(controls);
        if (list.entriesUnchanged) return;
        this.mergeEntries(list);
        this.entriesVersion = list.entriesVersion;
        onEntries?.(this.entryList);
    }

    /**
     * Merges partial lists into the known one. Otherwise the ownership of pools would change with each new holder: it knows no entries at first,
     * and a list of only the first entries that pulled would make each of them the owner of all queues.
     */
    private mergeEntries({ entries, goneEntries = [], entriesChanged, entriesPartial }: EntryList): void {
        if (!entriesChanged && !entriesPartial) {
            this.entryList = entries;
            return;
        }
        const replaced = new Set(entries.map(({ host }) => host));
        const gone = new Set(goneEntries.map(({ host, incarnation }) => `${host} ${incarnation}`));
        const kept = this.entryList.filter(({ host, incarnation }) =>
            !replaced.has(host) && !gone.has(`${host} ${incarnation}`)
        );
        this.entryList = [...kept, ...entries];
    }

    /** Calls a method of the holder, by way of another control process while only that one reaches it. */
    private callHolder(method: string, body: unknown, timeoutMs: number): Promise<Either<PeerError, unknown>> {
        if (this.switchToHost(this.unreachableHolder)) this.unreachableHolder = undefined;
        const link = this.currentLink();
        if (this.unreachableHolder === undefined) return link.call(method, body, timeoutMs);
        const request: ForwardRequest = { method, body, timeoutMs };
        return link.call(FORWARD_METHOD, request, timeoutMs + FORWARD_MARGIN_MS);
    }

    /**
     * Changes the way to the holder after a call has failed.
     *
     * @param holder - The holder by the word of the process that was called, where it named one.
     * @returns Whether a way to that holder is known.
     */
    private leaveLink(holder: string | undefined): boolean {
        const wasForwarded = this.unreachableHolder !== undefined;
        this.unreachableHolder = undefined;
        if (this.switchToHost(holder)) return true;
        if (!wasForwarded && holder !== undefined && holder !== this.currentLink().peer?.host) {
            this.unreachableHolder = holder;
            return true;
        }
        this.linkIndex++;
        return false;
    }

    /** Switches to the link of a host. Returns false when there is no open link to it or it is the current one. */
    private switchToHost(holder: string | undefined): boolean {
        const { links } = this.options;
        const index = links.findIndex(link => link.isOpen && link.peer?.host === holder);
        if (index < 0 || links[index] === this.currentLink()) return false;
        this.linkIndex = index;
        return true;
    }

    private currentLink(): ControlLink {
        const { links } = this.options;
        return links[this.linkIndex % links.length];
    }

    private pause(signal?: AbortSignal): Promise<void> {
        const { clock, random } = this.options;
        return clock.sleep(random.between(RETRY_DELAY_MS / 2, RETRY_DELAY_MS), signal);
    }
}
