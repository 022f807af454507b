/** Runs of one chat request, identified by the id that the router assigned. */
export interface ChatRuns {
    readonly request: string;
    /** Number of ended streams, resumed ones included. */
    readonly runs: number;
    /** Number of tokens that all these streams produced together. */
    readonly tokens: number;
}

/** The oldest chats beyond this number are dropped, which bounds the memory of a long benchmark. */
const MAX_CHATS = 100_000;

/** Counts streams and tokens per request id. Shared by all engines of an emulator, so that duplicate work is visible. */
export class ChatLedger {
    private readonly chats = new Map<string, ChatRuns>();

    /**
     * Records one ended stream of a request.
     *
     * @param request - Request id.
     * @param tokens - Number of tokens that the stream produced.
     */
    record(request: string, tokens: number): void {
        const previous = this.chats.get(request);
        const runs = (previous?.runs ?? 0) + 1;
        this.chats.set(request, { request, runs, tokens: (previous?.tokens ?? 0) + tokens });
        if (this.chats.size > MAX_CHATS) this.chats.delete(this.chats.keys().next().value!);
    }

    /** Returns the runs of all requests. */
    list(): ChatRuns[] {
        return [...this.chats.values()];
    }
}
