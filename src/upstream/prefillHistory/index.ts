/**
 * Age up to which past prefill periods predict future ones, in milliseconds: about the length of a burst of long
 * prompts.
 */
const HISTORY_MS = 5_000;
/**
 * Shortest break between two prompts in which streams can emit an event, in milliseconds: the time of a few tokens on a
 * large model.
 */
const MIN_BREAK_MS = 30;

/** Period in which an engine prefills prompts one after the other without a break. */
export interface PrefillPeriod {
    /** Monotonic time, in milliseconds; as is `endsAt`. */
    readonly startsAt: number;
    readonly endsAt: number;
    /** Length of the longest prompt of the period in tokens, including its cached part. */
    readonly promptTokens: number;
}

/**
 * Records when one upstream was busy with prefill. Prompts that follow each other closely form one period, which pauses
 * running streams as long as a single long prompt would.
 */
export class PrefillHistory {
    /** Ordered by time. */
    private readonly periods: PrefillPeriod[] = [];

    /** Returns the current period as it would be with one more prompt, whose prefill ends at `endsAt`. */
    extend(endsAt: number, promptTokens: number, now: number): PrefillPeriod {
        const last = this.periods.at(-1);
        if (!last || last.endsAt + MIN_BREAK_MS < now) return { startsAt: now, endsAt, promptTokens };
        return {
            startsAt: last.startsAt,
            endsAt: Math.max(last.endsAt, endsAt),
            promptTokens: Math.max(last.promptTokens, promptTokens),
        };
    }

    /**
     * Records a prompt that has been sent and whose prefill ends at `endsAt`. Returns the period that it belongs to.
     */
    record(endsAt: number, promptTokens: number, now: number): PrefillPeriod {
        const period = this.extend(endsAt, promptTokens, now);
        if (this.periods.at(-1)?.startsAt === period.startsAt) this.periods.pop();
        this.periods.push(period);
        while (this.periods[0].endsAt < now - HISTORY_MS) this.periods.shift();
        return period;
    }

    /**
     * Estimates the probability that a stream starting now is harmed by a prefill period, from 0 to 1, as the rate at
     * which one would have been harmed in the last seconds.
     *
     * @param harmOf - Returns the probability that a period harms a stream running beside it, from 0 to 1.
     * @param streamMs - Duration of the stream, in milliseconds.
     */
    harmProbability(harmOf: (period: PrefillPeriod) => number, streamMs: number, now: number): number {
        const since = now - HISTORY_MS;
        let harmMs = 0;
        for (const period of this.periods) {
            const { startsAt, endsAt } = period;
            if (endsAt < since) continue;
            harmMs += harmOf(period) * (Math.min(endsAt, now) - Math.max(startsAt, since) + streamMs);
        }
        return Math.min(1, harmMs / HISTORY_MS);
    }
}
