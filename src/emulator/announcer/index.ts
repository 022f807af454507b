import { Address, formatAddress } from "../../ports/index.js";
import { ANNOUNCE_PATH, Announcement, CacheEvents, LoadReport } from "../../protocol/index.js";
import { EmulatorPorts } from "../_lib/emulatorPorts.js";
import { drainBody, postJson } from "../_lib/json.js";

/** Config of an upstream's announcements. */
export interface AnnouncerConfig {
    /** Addresses of the entries' ports for upstreams. */
    readonly entries: readonly Address[];
    /** Sends each announcement to all entries, or to one that is drawn at random each time. */
    readonly spread: "all" | "one";
    /** Time between two announcements, in milliseconds. */
    readonly intervalMs: number;
    /** Age of a load report when it is sent, in milliseconds. */
    readonly loadLagMs: number;
    /** Delay before a cache event is announced, in milliseconds. */
    readonly cacheLagMs: number;
    /** Share of cache events that are dropped, from 0 to 1. */
    readonly cacheLoss: number;
}

/** Announces to all entries every 0.5 s, with delayed load reports and with cache events that are delayed and partly lost. */
export const DEFAULT_ANNOUNCER_CONFIG: AnnouncerConfig = {
    entries: [],
    spread: "all",
    intervalMs: 500,
    loadLagMs: 500,
    cacheLagMs: 1_000,
    cacheLoss: 0.05,
};

/** Source of an upstream's announcements: its description and its current load. */
export interface AnnouncementSource {
    /** Returns the announcement without the fields that the announcer adds. */
    describe(): Omit<Announcement, "sequence" | "load" | "cache">;
    /** Returns the current load; `age_ms` is 0. */
    readLoad(): LoadReport;
}

interface LoadSample {
    readonly sampledAtMs: number;
    readonly load: LoadReport;
}

interface PendingCacheEvent {
    readonly dueAtMs: number;
    readonly sequence: number;
    readonly event: CacheEvents["events"][number];
}

const SEND_TIMEOUT_MS = 1_000;
const MAX_CACHE_EVENTS_PER_ANNOUNCEMENT = 500;

/** Announces one upstream to the entries. Load reports are outdated, and cache events are late and have gaps. */
export class Announcer {
    private announcementSequence = 0;
    private cacheSequence = 0;
    private loadSamples: LoadSample[] = [];
    private pendingCacheEvents: PendingCacheEvent[] = [];
    private readonly entriesInFlight = new Set<string>();
    private isMuted = false;
    private entries: readonly Address[];

    constructor(
        private readonly ports: EmulatorPorts,
        private readonly cfg: AnnouncerConfig,
        private readonly source: AnnouncementSource,
    ) {
        this.entries = cfg.entries;
    }

    /** Replaces the entries that receive the announcements. */
    setEntries(entries: readonly Address[]): void {
        this.entries = entries;
    }

    /** Queues a cache event for a later announcement, or drops it at the configured loss rate. */
    addCacheEvent(event: CacheEvents["events"][number]): void {
        const sequence = this.cacheSequence++;
        if (this.ports.random.next() < this.cfg.cacheLoss) return;
        this.pendingCacheEvents.push({ dueAtMs: this.ports.clock.monotonic() + this.cfg.cacheLagMs, sequence, event });
    }

    /** Suspends or resumes announcements. */
    setMuted(muted: boolean): void {
        this.isMuted = muted;
    }

    /** Announces once per interval until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.announce();
            await this.ports.clock.sleep(this.cfg.intervalMs, signal);
        }
    }

    /** Announces now, except to entries whose previous announcement is still in flight. */
    announce(): void {
        if (this.isMuted) return;
        const body = this.makeAnnouncement();
        for (const entry of this.chooseEntries()) void this.sendUnlessInFlight(entry, body);
    }

    /** Announces now to every entry and waits for their replies. */
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
            ...this.source.describe(),
            sequence: ++this.announcementSequence,
            load: this.readLaggingLoad(),
            cache: this.takeCacheEvents(),
        };
    }

    private readLaggingLoad(): LoadReport {
        const nowMs = this.ports.clock.monotonic();
        this.loadSamples.push({ sampledAtMs: nowMs, load: this.source.readLoad() });
        const oldEnough = this.loadSamples.filter(sample => nowMs - sample.sampledAtMs >= this.cfg.loadLagMs);
        const chosen = oldEnough.length > 0 ? oldEnough[oldEnough.length - 1] : this.loadSamples[0];
        this.loadSamples = this.loadSamples.filter(sample => sample.sampledAtMs >= chosen.sampledAtMs);
        return { ...chosen.load, age_ms: nowMs - chosen.sampledAtMs };
    }

    /** Removes and returns the due events up to the first sequence gap; those after the gap wait for the next announcement. */
    private takeCacheEvents(): CacheEvents | undefined {
        const nowMs = this.ports.clock.monotonic();
        const due = this.pendingCacheEvents.filter(pending => pending.dueAtMs <= nowMs);
        if (due.length === 0) return undefined;
        const first = due[0].sequence;
        const taken = due.filter((pending, index) => pending.sequence === first + index)
            .slice(0, MAX_CACHE_EVENTS_PER_ANNOUNCEMENT);
        this.pendingCacheEvents = this.pendingCacheEvents.slice(taken.length);
        return { sequence: first, events: taken.map(pending => pending.event) };
    }

    private async sendUnlessInFlight(entry: Address, body: Announcement): Promise<void> {
        const name = formatAddress(entry);
        if (this.entriesInFlight.has(name)) return;
        this.entriesInFlight.add(name);
        await this.post(entry, body);
        this.entriesInFlight.delete(name);
    }

    private async post(entry: Address, body: Announcement): Promise<void> {
        const abort = new AbortController();
        const timeout = this.ports.clock.after(SEND_TIMEOUT_MS, () => abort.abort());
        const reply = await postJson(this.ports.http, entry, ANNOUNCE_PATH, body, SEND_TIMEOUT_MS, abort.signal);
        await reply.caseOf({ Left: () => Promise.resolve(), Right: drainBody });
        timeout.cancel();
    }
}
