import { VoterReplies } from "../../consensus/index.js";
import { FencingToken } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { StartsTable } from "../startsTable/index.js";
import { JOURNAL_READ_METHOD, JournalContent, UsageJournal } from "../usageJournal/index.js";

/** Interval between two reads of the other voters' journals, in milliseconds. */
const COLLECT_INTERVAL_MS = 1_000;
/** Pause after a read that did not reach a majority, in milliseconds. */
const RETRY_PAUSE_MS = 200;
const READ_TIMEOUT_MS = 1_000;

/** Options of `UsageCollector`. */
export interface UsageCollectorOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly journal: UsageJournal;
    readonly table: StartsTable;
    /** Calls all other voters of the control log. */
    readonly callVoters: (method: string, body: unknown, timeoutMs: number) => Promise<VoterReplies>;
}

/**
 * Reads the usage that other voters have stored and the holder may not have received. Entries have their acknowledgements from any majority of the
 * voters, so only a majority's journals have everything.
 */
export class UsageCollector extends HolderTask {
    readonly name = "usage-collector";
    /** Monotonic time at which the last read of a majority began, and the term in which it did. */
    private collected: { readonly at: number; readonly token: FencingToken; } | undefined;

    constructor(private readonly options: UsageCollectorOptions) {
        super();
    }

    /**
     * Whether a majority's journals were read in this term.
     *
     * @param maxAgeMs - Maximum time since the read began, in milliseconds.
     */
    hasCollected({ token }: HolderTerm, maxAgeMs = Number.POSITIVE_INFINITY): boolean {
        if (this.collected?.token !== token) return false;
        return this.options.clock.monotonic() - this.collected.at <= maxAgeMs;
    }

    async step({ token }: HolderTerm): Promise<number> {
        const { clock, journal, callVoters, logger } = this.options;
        const startedAt = clock.monotonic();
        const { voters, replies } = await callVoters(JOURNAL_READ_METHOD, {}, READ_TIMEOUT_MS);
        // A host whose disk was replaced answers under another store id, and does not have what the voter stored.
        const contents = [...replies].flatMap(([storeId, reply]) => {
            const content = reply as JournalContent;
            return content.storeId === storeId ? [content] : [];
        });
        for (const content of contents) this.merge(content);
        const own = journal.read();
        const readCount = contents.length + (own.isVoter ? 1 : 0);
        if (readCount <= voters / 2) {
            logger.warn("usage-not-collected", { voters, read: readCount });
            return RETRY_PAUSE_MS;
        }
        this.collected = { at: startedAt, token };
        return COLLECT_INTERVAL_MS;
    }

    private merge({ starts, batches }: JournalContent): void {
        for (const { run, windows } of starts) this.options.table.merge(run, windows);
        this.options.journal.addCollected(batches);
    }
}
