/**
 * Fault to inject into one call of a plain service.
 * - `late`: the call runs, and its answer is delayed.
 * - `lost`: the call runs, and the connection is reset before the answer.
 * - `silent`: the call runs, but is never answered, and the connection stays open.
 * - `crossed`: the call runs, and its answer has another request's id.
 * - `failed`: the call runs; the answer is an error status.
 * - `refused`: the call does not run; the answer is an error status.
 */
export type ServiceFault =
    | { readonly kind: "late"; readonly delayMs: number; }
    | { readonly kind: "lost" | "silent"; }
    | { readonly kind: "crossed"; readonly id: string; }
    | { readonly kind: "failed" | "refused"; readonly status: number; };
