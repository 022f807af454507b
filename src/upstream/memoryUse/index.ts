import { SelectionRequest } from "../selectionPolicy/index.js";

/** Properties of a request that determine how much KV cache memory it needs. */
export type MemoryDemand = Pick<SelectionRequest, "parts" | "promptTokens" | "predictedTokens">;

interface PartInUse {
    readonly tokens: number;
    requests: number;
}

/**
 * Number of tokens that one upstream's running requests keep in its memory: their prompts and predicted answers, with
 * shared leading parts counted once.
 *
 * @example
 * use.add(request);
 * use.tokensFor(next); // tokens that another request would add
 */
export class MemoryUse {
    private unsharedTokens = 0;
    private sharedTokens = 0;
    private readonly parts = new Map<string, PartInUse>();

    /** Tokens kept now. */
    get tokens(): number {
        return this.unsharedTokens + this.sharedTokens;
    }

    /** Returns the tokens that a request would add. */
    tokensFor(request: MemoryDemand): number {
        let tokens = countUnsharedTokens(request);
        for (const { id, tokens: partTokens } of listSharedParts(request)) {
            if (!this.parts.has(id)) tokens += partTokens;
        }
        return tokens;
    }

    /** Adds a request that starts there. */
    add(request: MemoryDemand): void {
        this.unsharedTokens += countUnsharedTokens(request);
        for (const { id, tokens } of listSharedParts(request)) {
            const part = this.parts.get(id);
            if (part) {
                part.requests++;
                continue;
            }
            this.parts.set(id, { tokens, requests: 1 });
            this.sharedTokens += tokens;
        }
    }

    /** Removes an added request that has ended. */
    remove(request: MemoryDemand): void {
        this.unsharedTokens -= countUnsharedTokens(request);
        for (const { id } of listSharedParts(request)) {
            const part = this.parts.get(id);
            if (!part || --part.requests > 0) continue;
            this.parts.delete(id);
            this.sharedTokens -= part.tokens;
        }
    }
}

function countUnsharedTokens(request: MemoryDemand): number {
    const shared = listSharedParts(request).reduce((sum, { tokens }) => sum + tokens, 0);
    return Math.max(0, request.promptTokens - shared) + request.predictedTokens;
}

/** Returns all parts but the last, which is the request's own. */
function listSharedParts({ parts }: MemoryDemand): MemoryDemand["parts"] {
    return parts.length > 1 ? parts.slice(0, -1) : [];
}
