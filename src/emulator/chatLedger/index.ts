/** Runs of one chat request, identified by the id that the router assigned. */
export interface ChatRuns {
    readonly request: string;
    /** Number of ended streams, resumed ones included. */
    readonly runs: number;
    /** Number of tokens that all these streams produced together. */
    readonly tokens: number;
    /** Versions of the software of the engines that produced any of them. */
    readonly software: readonly string[];
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
     * @param software - Version of the engine's software.
     */
    record(request: string, tokens: number, software: string): void {
        const known = this.chats.get(request) ?? { request, runs: 0, tokens: 0, software: [] };
        const isAdded = tokens > 0 && !known.software.includes(software);
        this.chats.set(request, {
            request,
            runs: known.runs + 1,
            tokens: known.tokens + tokens,
            software: isAdded ? [...known.software, software] : known.software,
        });
        if (this.chats.size > MAX_CHATS) this.chats.delete(this.chats.keys().next().value!);
    }

    /** Returns the runs of all requests. */
    list(): ChatRuns[] {
        return [...this.chats.values()];
    }
}
