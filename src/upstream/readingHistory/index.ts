/** How far back stretches of reading tell of those to come, in milliseconds: about as long as a burst of long prompts lasts. */
const MEMORY_MS = 5_000;
/** A break shorter than this gives streams no time for an event, in milliseconds: a few tokens of a large model. */
const BREAK_MS = 30;

/** Prompts that are read one after the other without a break. */
export interface ReadingStretch {
    /** Monotonic, in milliseconds. */
    readonly startsAt: number;
    readonly endsAt: number;
    /** The longest of them, in tokens, with what is held of it. */
    readonly promptTokens: number;
}

/**
 * When one upstream read prompts without a break: prompts that follow each other closely make one stretch, in which running streams stand still
 * as beside a single long prompt.
 */
export class ReadingHistory {
    /** In order of time. */
    private readonly stretches: ReadingStretch[] = [];

    /** The present stretch as it would be with a prompt more, which is read by then. */
    extend(endsAt: number, promptTokens: number, now: number): ReadingStretch {
        const last = this.stretches.at(-1);
        if (!last || last.endsAt + BREAK_MS < now) return { startsAt: now, endsAt, promptTokens };
        return {
            startsAt: last.startsAt,
            endsAt: Math.max(last.endsAt, endsAt),
            promptTokens: Math.max(last.promptTokens, promptTokens),
        };
    }

    /** A prompt is sent that will have been read by then. Gives the stretch that it is part of. */
    note(endsAt: number, promptTokens: number, now: number): ReadingStretch {
        const stretch = this.extend(endsAt, promptTokens, now);
        if (this.stretches.at(-1)?.startsAt === stretch.startsAt) this.stretches.pop();
        this.stretches.push(stretch);
        while (this.stretches[0].endsAt < now - MEMORY_MS) this.stretches.shift();
        return stretch;
    }

    /**
     * How probable it is that a stream which runs for so long from now on is harmed by a stretch, from 0 to 1: as often as one would have been
     * in the last seconds.
     *
     * @param harmOf - How probable it is that a stretch harms a stream beside it, from 0 to 1.
     */
    chanceOfHarm(harmOf: (stretch: ReadingStretch) => number, forMs: number, now: number): number {
        const since = now - MEMORY_MS;
        let harmMs = 0;
        for (const stretch of this.stretches) {
            const { startsAt, endsAt } = stretch;
            if (endsAt < since) continue;
            harmMs += harmOf(stretch) * (Math.min(endsAt, now) - Math.max(startsAt, since) + forMs);
        }
        return Math.min(1, harmMs / MEMORY_MS);
    }
}
