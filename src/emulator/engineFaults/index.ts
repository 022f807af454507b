/**
 * A fault in the answer to one request.
 * - `cut`: the connection is reset after some tokens.
 * - `silent`: nothing more comes after some tokens, and the connection stays open.
 * - `unfinished`: the stream ends after some tokens as if whole, without its terminal event.
 * - `late`: the answer begins late.
 * - `crossed`: the answer to another request.
 * - `refused`: an error status at once.
 */
export type RequestFault =
    | { readonly kind: "cut" | "silent" | "unfinished"; readonly afterTokens: number; }
    | { readonly kind: "late"; readonly delayMs: number; }
    | { readonly kind: "crossed"; readonly id: string; }
    | { readonly kind: "refused"; readonly status: number; };

/** Faults in store for an upstream's next requests: each request takes one. */
export class FaultQueue {
    private readonly faults: RequestFault[] = [];

    /** Adds a fault for a later request. */
    add(...faults: RequestFault[]): void {
        this.faults.push(...faults);
    }

    /** Takes the next fault, or undefined when there is none. */
    take(): RequestFault | undefined {
        return this.faults.shift();
    }
}
