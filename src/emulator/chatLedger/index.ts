/** A chat request, by the id that the system gave it, and what engines did for it. */
export interface ChatRuns {
    readonly request: string;
    /** How many streams engines began for it; resumed ones count too. */
    readonly runs: number;
    /** How many tokens they gave, all together. */
    readonly tokens: number;
}

/** The oldest chats beyond this many are forgotten, so that a long bench does not fill the memory. */
const MOST_CHATS = 100_000;

/** What engines ran, by request id; shared by all engines of a set, so that wasted work shows. */
export class ChatLedger {
    private readonly chats = new Map<string, ChatRuns>();

    /**
     * Notes one stream for a request.
     *
     * @param request - The id that came with it.
     * @param tokens - How many tokens the stream gave.
     */
    record(request: string, tokens: number): void {
        const known = this.chats.get(request);
        const runs = (known?.runs ?? 0) + 1;
        this.chats.set(request, { request, runs, tokens: (known?.tokens ?? 0) + tokens });
        if (this.chats.size > MOST_CHATS) this.chats.delete(this.chats.keys().next().value!);
    }

    /** All requests that ran. */
    list(): ChatRuns[] {
        return [...this.chats.values()];
    }
}
