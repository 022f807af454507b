import { USAGE_REPORT_METHOD, UsageAck } from "../../control/index.js";
import { Clock } from "../../ports/index.js";
import { UsageReport } from "../../usage/index.js";
import { PeerLink, PeerRouter } from "../../wire/index.js";
import { findMajorityPosition } from "../majorityPosition/index.js";

/** Peer methods with which an entry backs its usage up on another entry. */
export const USAGE_BACKUP_METHODS = { hold: "usage.backup", release: "usage.release-backup" } as const;

/** Releases the backups of a run up to a position. */
export interface UsageRelease {
    readonly host: string;
    readonly incarnation: string;
    readonly position: number;
}

/** A report held for another entry. */
interface HeldReport {
    readonly report: UsageReport;
    /** Monotonic time, in milliseconds. */
    readonly heldAt: number;
}

/** A report that has not been released for this long is sent to the control processes: its host has most likely ended. */
const SEND_AFTER_MS = 2_000;
const CHECK_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_000;

/**
 * Holds backups of other entries' usage, and sends those that are not released in time to the control processes. Sending a report twice is
 * harmless, so an entry that is merely cut off from this one needs no special treatment.
 *
 * @example
 * new UsageBackupStore(clock, links).addTo(router);
 */
export class UsageBackupStore {
    /** The newest report of each run: it includes what an earlier one had and that is not durable. */
    private readonly held = new Map<string, HeldReport>();

    /** @param links - Links to the control processes; the array may change. */
    constructor(private readonly clock: Clock, private readonly links: readonly Pick<PeerLink, "call">[]) {}

    get size(): number {
        return this.held.size;
    }

    /** Registers the methods with which other entries store and release reports. */
    addTo(router: PeerRouter): void {
        router.add(USAGE_BACKUP_METHODS.hold, body => {
            const report = body as UsageReport;
            this.held.set(formatRun(report), { report, heldAt: this.clock.monotonic() });
            return true;
        });
        router.add(USAGE_BACKUP_METHODS.release, body => this.release(body as UsageRelease));
    }

    /** Sends overdue reports until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleepToTick(CHECK_INTERVAL_MS, signal);
            await this.sendOverdue();
        }
    }

    private release(release: UsageRelease): void {
        const key = formatRun(release);
        const held = this.held.get(key);
        if (held && held.report.upTo <= release.position) this.held.delete(key);
    }

    private async sendOverdue(): Promise<void> {
        const now = this.clock.monotonic();
        for (const [key, { report, heldAt }] of this.held) {
            if (now - heldAt < SEND_AFTER_MS) continue;
            if (await this.send(report)) this.held.delete(key);
        }
    }

    /** Sends a report to all control processes. Returns whether a majority of the voters has it. */
    private async send(report: UsageReport): Promise<boolean> {
        // Nothing is said about the run's progress, since a later run of its host may have begun.
        const body: UsageReport = { ...report, countedAt: undefined };
        const answers = await Promise.all(
            this.links.map(link => link.call(USAGE_REPORT_METHOD, body, REPORT_TIMEOUT_MS)),
        );
        const acks = answers.flatMap(answer => answer.isRight() ? [answer.unsafeCoerce() as UsageAck] : []);
        const isRecorded = acks.some(({ recorded }) => recorded >= report.upTo);
        return isRecorded || findMajorityPosition(acks) >= report.upTo;
    }
}

function formatRun({ host, incarnation }: Pick<UsageReport, "host" | "incarnation">): string {
    return `${host} ${incarnation}`;
}
