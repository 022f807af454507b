import { Either, Left, Right } from "purify-ts";
import { Clock, Random } from "../../ports/index.js";
import { PeerError, PeerLink } from "../../wire/index.js";
import { COMMAND_METHOD, CommandReply, EntryCommand } from "../command/index.js";
import { DEMAND_METHOD, DemandReport } from "../demandReport/index.js";
import { EntryView, VIEW_PULL_METHOD, ViewChange, ViewPull, ViewPullReply } from "../view/index.js";
import { ViewCache } from "../viewCache/index.js";

/** How long one try of a command may take before another control host is asked, in milliseconds. */
const ATTEMPT_MS = 1_500;
/** The pause after a try that failed, in milliseconds; scattered. */
const RETRY_MS = 40;
/** How much longer than the holder's wait a pull may take, in milliseconds. */
const PULL_MARGIN_MS = 1_500;
const DEFAULT_PULL_WAIT_MS = 2_000;
/** How often a waiting pull looks whether the view has gone stale meanwhile, in milliseconds. */
const STALE_LOOK_MS = 200;

/** A link to one control host. */
export type ControlLink = Pick<PeerLink, "isOpen" | "peer" | "call" | "notify">;

/** Who the entry is, as its pulls say. */
export type EntrySelf = Pick<ViewPull, "host" | "incarnation" | "zone" | "peerAddress" | "adminAddress" | "ownsQueues">;

/** What an answer says of the other entries. */
type EntryList = Omit<ViewPullReply, "change" | "leaseMs" | "controls">;

/** What the client is made of. */
export interface ControlClientOptions {
    /** May change while the client runs. */
    readonly links: readonly ControlLink[];
    readonly clock: Clock;
    readonly random: Random;
    readonly self: EntrySelf;
    readonly cache: ViewCache;
    /** How long the holder may keep a pull waiting for a change, in milliseconds. */
    readonly pullWaitMs?: number;
    /** Told after each change that the cache has taken, to look at connections whose key may be gone. */
    readonly onChange?: (change: ViewChange) => void;
    /** Told when the list of the other entries has changed. */
    readonly onEntries?: (entries: readonly EntryView[]) => void;
    /** Told which control processes there are, `IP:port`, with each answer that says so. */
    readonly onControls?: (addresses: readonly string[]) => void;
}

/** A command that got no answer in time. */
export class ControlClientError extends Error {
    /** @param mayHaveApplied - False only when the command can't have been, nor can come to be, applied. */
    constructor(readonly mayHaveApplied: boolean, detail: string) {
        super(detail);
    }
}

/**
 * An entry's way to the control hosts: one task that keeps the view fresh, and commands to whoever holds the lease.
 *
 * Guards against work on an outdated view: the freshness lease is counted from the moment the pull left, as `Clock.elapsed`
 * counts, so an entry that was cut off, frozen or suspended finds its view stale no later than the holder does.
 *
 * @example
 * lifecycle.run(signal => client.run(signal), logError);
 * const reply = await client.command(command, 2_000);
 */
export class ControlClient {
    private preferred = 0;
    private freshUntil = -Infinity;
    private draining = false;
    private knownEntries: readonly EntryView[] = [];
    private entriesVersion: string | undefined;
    private pulledOnce = false;

    constructor(private readonly options: ControlClientOptions) {}

    /** The entries, this one too, as the holder knows them. */
    get entries(): readonly EntryView[] {
        return this.knownEntries;
    }

    /** The link to the control process that answers this entry: the holder, as far as is known. */
    get holderLink(): ControlLink | undefined {
        return this.options.links.length === 0 ? undefined : this.currentLink();
    }

    /** True while new work may be taken on the view in the cache. */
    isFresh(): boolean {
        return this.options.clock.elapsed() < this.freshUntil;
    }

    /** Says with each further pull whether this entry is about to stop. */
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
     * Hands a command to the holder. It is sent again after a lost answer: each entry command gives its first answer when
     * it comes twice.
     *
     * @param timeoutMs - How long to try, in milliseconds.
     * @returns The state machine's answer.
     */
    async command<Result>(command: EntryCommand, timeoutMs: number): Promise<Either<ControlClientError, Result>> {
        const { clock } = this.options;
        const deadline = clock.monotonic() + timeoutMs;
        let mayHaveApplied = false;
        for (;;) {
            const leftMs = deadline - clock.monotonic();
            if (leftMs <= 0) return Left(new ControlClientError(mayHaveApplied, `${command.kind}: no answer in time`));
            const reply = await this.tryCommand(command, Math.min(ATTEMPT_MS, leftMs));
            if (reply.kind === "applied") return Right(reply.result as Result);
            if (reply.kind === "failed") mayHaveApplied ||= reply.mayCommit;
            const hinted = reply.kind === "not-holder" && this.follow(reply.holder);
            if (hinted) continue;
            this.preferred++;
            await this.pause();
        }
    }

    /** Tells the holder what the pools owned here need. A report that is lost is not sent again: the next one is newer. */
    async reportDemand(report: DemandReport): Promise<void> {
        await this.currentLink().call(DEMAND_METHOD, report, ATTEMPT_MS);
    }

    private async tryCommand(command: EntryCommand, timeoutMs: number): Promise<CommandReply> {
        const link = this.currentLink();
        const answer = await link.call(COMMAND_METHOD, command, timeoutMs);
        return answer.caseOf<CommandReply>({
            Left: err => ({ kind: "failed", mayCommit: err.mayHaveArrived, reason: err.message }),
            Right: reply => reply as CommandReply,
        });
    }

    private async pullOnce(): Promise<boolean> {
        const { clock, self, cache, pullWaitMs = DEFAULT_PULL_WAIT_MS } = this.options;
        const waitMs = this.pulledOnce ? pullWaitMs : 0;
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
        const leftAt = clock.elapsed();
        const asked = this.currentLink().call(VIEW_PULL_METHOD, pull, waitMs + PULL_MARGIN_MS);
        const answer = await this.unlessStale(asked, waitMs);
        if (!answer) {
            this.pulledOnce = false;
            return true;
        }
        answer.ifLeft(err => this.leaveLink(err));
        answer.ifRight(reply => this.takeReply(reply as ViewPullReply, leftAt));
        return answer.isRight();
    }

    /**
     * Guards against an entry that refuses calls for seconds though it reaches control: after a jump of the wall clock, which looks like sleep, its
     * view counts as stale at once, and a pull that waits for a change would renew it only when that wait ends.
     *
     * @returns The answer; undefined when the view went stale first. An answer that comes later is not used.
     */
    private unlessStale<Answer>(asked: Promise<Answer>, waitMs: number): Promise<Answer | undefined> {
        if (waitMs === 0 || !this.isFresh()) return asked;
        const { clock } = this.options;
        return new Promise(resolve => {
            const look = (): void => {
                if (!this.isFresh()) resolve(undefined);
                else timer = clock.after(clock.untilTick(STALE_LOOK_MS), look);
            };
            let timer = clock.after(clock.untilTick(STALE_LOOK_MS), look);
            void asked.then(answer => {
                timer.cancel();
                resolve(answer);
            });
        });
    }

    private takeReply({ change, leaseMs, controls, ...list }: ViewPullReply, leftAt: number): void {
        const { cache, onChange, onEntries } = this.options;
        const taken = change !== undefined && cache.apply(change);
        this.pulledOnce = true;
        this.freshUntil = Math.max(this.freshUntil, leftAt + leaseMs);
        if (taken) onChange?.(change);
        if (controls) this.options.onControls?.(controls);
        if (list.entriesUnchanged) return;
        this.takeEntries(list);
        this.entriesVersion = list.entriesVersion;
        onEntries?.(this.knownEntries);
    }

    /**
     * Guards against pools that change hands at each change of the holder: a new one knows nobody at first, and a list of those
     * that happened to ask first would make each of them the owner of all queues.
     */
    private takeEntries({ entries, goneEntries = [], entriesChanged, entriesPartial }: EntryList): void {
        if (!entriesChanged && !entriesPartial) {
            this.knownEntries = entries;
            return;
        }
        const replaced = new Set(entries.map(({ host }) => host));
        const gone = new Set(goneEntries.map(({ host, incarnation }) => `${host} ${incarnation}`));
        const kept = this.knownEntries.filter(({ host, incarnation }) =>
            !replaced.has(host) && !gone.has(`${host} ${incarnation}`)
        );
        this.knownEntries = [...kept, ...entries];
    }

    private leaveLink(err: PeerError): void {
        const holder = /not-holder (\S+)/.exec(err.message)?.[1];
        if (!this.follow(holder)) this.preferred++;
    }

    /** Turns to the link of a host. False when there is none, it is not open, or it is the present one. */
    private follow(holder: string | undefined): boolean {
        const { links } = this.options;
        const at = links.findIndex(link => link.isOpen && link.peer?.host === holder);
        if (at < 0 || links[at] === this.currentLink()) return false;
        this.preferred = at;
        return true;
    }

    private currentLink(): ControlLink {
        const { links } = this.options;
        return links[this.preferred % links.length];
    }

    private pause(signal?: AbortSignal): Promise<void> {
        const { clock, random } = this.options;
        return clock.sleep(random.between(RETRY_MS / 2, RETRY_MS), signal);
    }
}
