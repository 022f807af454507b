import { Address, formatAddress } from "../../ports/index.js";
import { ANNOUNCE_PATH, Announcement, CacheEvents, LoadReport } from "../../protocol/index.js";
import { drainBody, postJson } from "../_lib/json.js";
import { StandInPorts } from "../_lib/standInPorts.js";

/** How an upstream announces itself. */
export interface AnnouncerConfig {
    /** The upstream-facing ports of the entries. */
    readonly entries: readonly Address[];
    /** Whether each announcement goes to all entries or to one of them, drawn anew each time. */
    readonly spread: "all" | "one";
    readonly intervalMs: number;
    /** How old a load report is when it leaves, in milliseconds. */
    readonly loadLagMs: number;
    /** How long a cache event waits before it is told, in milliseconds. */
    readonly cacheLagMs: number;
    /** The share of cache events that are never told. */
    readonly cacheLoss: number;
}

/** Announcements every half second, to all entries; load and cache events lag. */
export const DEFAULT_ANNOUNCER: AnnouncerConfig = {
    entries: [],
    spread: "all",
    intervalMs: 500,
    loadLagMs: 500,
    cacheLagMs: 1_000,
    cacheLoss: 0.05,
};

/** What does not change from one announcement to the next, or is read anew for each. */
export interface AnnouncedUpstream {
    /** The announcement without what the announcer adds. */
    describe(): Omit<Announcement, "sequence" | "load" | "cache">;
    /** The load at this moment; `age_ms` is 0. */
    readLoad(): LoadReport;
}

interface LoadSample {
    readonly at: number;
    readonly load: LoadReport;
}

interface PendingEvent {
    readonly due: number;
    readonly sequence: number;
    readonly event: CacheEvents["events"][number];
}

const SEND_TIMEOUT_MS = 1_000;
const CACHE_EVENTS_PER_ANNOUNCEMENT = 500;

/** Announces one upstream to the entries: load reports lag, and cache events come late and with gaps. */
export class Announcer {
    private sequence = 0;
    private cacheSequence = 0;
    private samples: LoadSample[] = [];
    private events: PendingEvent[] = [];
    private readonly busy = new Set<string>();
    private isMuted = false;
    private entries: readonly Address[];

    constructor(
        private readonly ports: StandInPorts,
        private readonly cfg: AnnouncerConfig,
        private readonly upstream: AnnouncedUpstream,
    ) {
        this.entries = cfg.entries;
    }

    /** Changes who is told. */
    setEntries(entries: readonly Address[]): void {
        this.entries = entries;
    }

    /** Takes in a cache event, to be told later or never. */
    addCacheEvent(event: CacheEvents["events"][number]): void {
        const sequence = this.cacheSequence++;
        if (this.ports.random.next() < this.cfg.cacheLoss) return;
        this.events.push({ due: this.ports.clock.monotonic() + this.cfg.cacheLagMs, sequence, event });
    }

    /** Sends nothing from now on, or again. */
    setMuted(muted: boolean): void {
        this.isMuted = muted;
    }

    /** Announces at each interval until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.announce();
            await this.ports.clock.sleep(this.cfg.intervalMs, signal);
        }
    }

    /** Announces now; an entry that still has an announcement under way is left out. */
    announce(): void {
        if (this.isMuted) return;
        const body = this.makeAnnouncement();
        for (const entry of this.chooseEntries()) void this.send(entry, body);
    }

    /** Announces now to every entry and waits for the answers. */
    async announceToAll(): Promise<void> {
        const body = this.makeAnnouncement();
        await Promise.all(this.entries.map(entry => this.post(entry, body)));
    }

    private chooseEntries(): readonly Address[] {
        if (this.cfg.spread === "all" || this.entries.length === 0) return this.entries;
        return [this.ports.random.pick(this.entries)];
    }

    private makeAnnouncement(): Announcement {
        return {
            ...this.upstream.describe(),
            sequence: ++this.sequence,
            load: this.readLaggingLoad(),
            cache: this.takeCacheEvents(),
        };
    }

    private readLaggingLoad(): LoadReport {
        const now = this.ports.clock.monotonic();
        this.samples.push({ at: now, load: this.upstream.readLoad() });
        const old = this.samples.filter(sample => now - sample.at >= this.cfg.loadLagMs);
        const chosen = old.length > 0 ? old[old.length - 1] : this.samples[0];
        this.samples = this.samples.filter(sample => sample.at >= chosen.at);
        return { ...chosen.load, age_ms: now - chosen.at };
    }

    /** The next run of events without a gap; those behind a gap wait for the next announcement. */
    private takeCacheEvents(): CacheEvents | undefined {
        const now = this.ports.clock.monotonic();
        const due = this.events.filter(pending => pending.due <= now);
        if (due.length === 0) return undefined;
        const first = due[0].sequence;
        const taken = due.filter((pending, index) => pending.sequence === first + index)
            .slice(0, CACHE_EVENTS_PER_ANNOUNCEMENT);
        this.events = this.events.slice(taken.length);
        return { sequence: first, events: taken.map(pending => pending.event) };
    }

    private async send(entry: Address, body: Announcement): Promise<void> {
        const name = formatAddress(entry);
        if (this.busy.has(name)) return;
        this.busy.add(name);
        await this.post(entry, body);
        this.busy.delete(name);
    }

    private async post(entry: Address, body: Announcement): Promise<void> {
        const abort = new AbortController();
        const limit = this.ports.clock.after(SEND_TIMEOUT_MS, () => abort.abort());
        const reply = await postJson(this.ports.http, entry, ANNOUNCE_PATH, body, SEND_TIMEOUT_MS, abort.signal);
        await reply.caseOf({ Left: () => Promise.resolve(), Right: drainBody });
        limit.cancel();
    }
}
