import { ChoiceRequest } from "../choice/index.js";

/** What of a request takes memory at the upstream that runs it. */
export type MemoryShape = Pick<ChoiceRequest, "parts" | "promptTokens" | "predictedTokens">;

interface PartInUse {
    readonly tokens: number;
    requests: number;
}

/**
 * The tokens that one upstream's running requests keep in its memory: their prompts and what they will answer, with the parts that several
 * of them begin with counted once.
 *
 * @example
 * use.add(request);
 * use.tokensFor(next); // what would be kept with another one
 */
export class MemoryUse {
    private own = 0;
    private shared = 0;
    private readonly parts = new Map<string, PartInUse>();

    /** Tokens that are kept now. */
    get tokens(): number {
        return this.own + this.shared;
    }

    /** Tokens that a request would add. */
    tokensFor(request: MemoryShape): number {
        let tokens = ownTokens(request);
        for (const { id, tokens: size } of sharedParts(request)) {
            if (!this.parts.has(id)) tokens += size;
        }
        return tokens;
    }

    /** A request begins there. */
    add(request: MemoryShape): void {
        this.own += ownTokens(request);
        for (const { id, tokens } of sharedParts(request)) {
            const part = this.parts.get(id);
            if (part) {
                part.requests++;
                continue;
            }
            this.parts.set(id, { tokens, requests: 1 });
            this.shared += tokens;
        }
    }

    /** A request that was added has ended. */
    remove(request: MemoryShape): void {
        this.own -= ownTokens(request);
        for (const { id } of sharedParts(request)) {
            const part = this.parts.get(id);
            if (!part || --part.requests > 0) continue;
            this.parts.delete(id);
            this.shared -= part.tokens;
        }
    }
}

function ownTokens(request: MemoryShape): number {
    const shared = sharedParts(request).reduce((sum, { tokens }) => sum + tokens, 0);
    return Math.max(0, request.promptTokens - shared) + request.predictedTokens;
}

/** All but the last, which is the request's own. */
function sharedParts({ parts }: MemoryShape): MemoryShape["parts"] {
    return parts.length > 1 ? parts.slice(0, -1) : [];
}
