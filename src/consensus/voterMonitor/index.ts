import { Metrics } from "../../metrics/index.js";
import { findVoters, Member } from "../member/index.js";
import { Replica } from "../replica/index.js";

/** Interval between two observations, in milliseconds. */
const OBSERVATION_INTERVAL_MS = 1_000;
/** A shortage is reported once it has lasted this long, in milliseconds: a fleet that starts has one for a moment. */
const MIN_SHORTAGE_MS = 2_000;
/** Interval at which a lasting shortage is logged again, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;

/** A voter and the time since the leader heard from it, in milliseconds. */
export interface VoterSilence {
    readonly voter: Member;
    readonly silentMs: number;
}

/** Numbers of voters that the fleet wants, that the configuration counts, and that the leader hears from. */
interface VoterCounts {
    readonly wanted: number;
    readonly counted: number;
    readonly answering: number;
}

/** Options of `VoterMonitor`. */
export interface VoterMonitorOptions {
    readonly replica: Replica;
    /** Receives the gauges; undefined: none are recorded. */
    readonly metrics: Metrics | undefined;
    /** Desired number of voters; infinite: as many as there are members. */
    readonly targetVoters: number;
}

/**
 * Reports how many voters the leader hears from beside how many it counts and wants. Without that, operators would learn of a shortage only
 * when the next loss ends the service.
 *
 * @example
 * monitor.observe([{ voter, silentMs: 3_200 }]);
 */
export class VoterMonitor {
    private nextObservationAt = Number.NEGATIVE_INFINITY;
    /** Monotonic time at which the present shortage began, in milliseconds; undefined: there is none. */
    private shortSince: number | undefined;
    /** The shortage that was logged last; empty: none. */
    private loggedShortage = "";
    private nextLogAt = 0;

    constructor(private readonly options: VoterMonitorOptions) {}

    /**
     * Records the state of the voters, and logs a shortage when it begins, changes, lasts and ends. To be called often by the leader.
     *
     * @param unresponsive - The voters from which the leader hears nothing.
     */
    observe(unresponsive: readonly VoterSilence[]): void {
        const { replica: { clock, configuration }, targetVoters, metrics } = this.options;
        if (clock.monotonic() < this.nextObservationAt) return;
        this.nextObservationAt = clock.monotonic() + OBSERVATION_INTERVAL_MS;
        const counted = findVoters(configuration).length;
        const wanted = Number.isFinite(targetVoters) ? targetVoters : configuration.members.length;
        const answering = counted - unresponsive.length;
        metrics?.gauge("voters_wanted", wanted);
        metrics?.gauge("voters_counted", counted);
        metrics?.gauge("voters_answering", answering);
        if (answering < wanted) this.logShortage({ wanted, counted, answering }, unresponsive);
        else this.logEnd({ wanted, counted, answering });
    }

    private logShortage(counts: VoterCounts, unresponsive: readonly VoterSilence[]): void {
        const { clock, logger, configuration } = this.options.replica;
        this.shortSince ??= clock.monotonic();
        if (clock.monotonic() - this.shortSince < MIN_SHORTAGE_MS) return;
        const shortage = `${counts.answering} of ${counts.wanted}: ${listHosts(unresponsive)}`;
        if (shortage === this.loggedShortage && clock.monotonic() < this.nextLogAt) return;
        this.loggedShortage = shortage;
        this.nextLogAt = clock.monotonic() + LOG_INTERVAL_MS;
        const learners = configuration.members.filter(({ role }) => role === "learner").map(({ host }) => host);
        logger.warn("voters-missing", {
            ...counts,
            unresponsive: describeSilences(unresponsive),
            learners: learners.join(" "),
        });
    }

    private logEnd(counts: VoterCounts): void {
        this.shortSince = undefined;
        if (this.loggedShortage === "") return;
        this.loggedShortage = "";
        this.options.replica.logger.info("voters-complete", { ...counts });
    }
}

/** Returns the hosts and their silence as text for logs, such as `core-4 3200 ms, core-5 2400 ms`. */
export function describeSilences(silences: readonly VoterSilence[]): string {
    return silences.map(({ voter, silentMs }) => `${voter.host} ${Math.round(silentMs)} ms`).join(", ");
}

function listHosts(silences: readonly VoterSilence[]): string {
    return silences.map(({ voter }) => voter.host).sort().join(" ");
}
