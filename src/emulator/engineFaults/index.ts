/**
 * Fault to inject into an engine's answer to one chat request.
 * - `cut`: the connection is reset after `afterTokens` tokens.
 * - `silent`: nothing is sent after `afterTokens` tokens, and the connection stays open.
 * - `unfinished`: the response body ends normally after `afterTokens` tokens, but without the terminal event.
 * - `late`: the answer starts `delayMs` late.
 * - `crossed`: the answer is that of another request, under its id.
 * - `refused`: the answer is an error status.
 */
export type EngineFault =
    | { readonly kind: "cut" | "silent" | "unfinished"; readonly afterTokens: number; }
    | { readonly kind: "late"; readonly delayMs: number; }
    | { readonly kind: "crossed"; readonly id: string; }
    | { readonly kind: "refused"; readonly status: number; };

/** Faults for an engine's next chat requests; each request removes the first one. */
export class FaultQueue {
    private readonly faults: EngineFault[] = [];

    /** Adds faults, one per later request. */
    add(...faults: EngineFault[]): void {
        this.faults.push(...faults);
    }

    /** Removes and returns the next fault, or undefined if there is none. */
    take(): EngineFault | undefined {
        return this.faults.shift();
    }
}
