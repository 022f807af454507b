/**
 * A fault in one call of a plain service.
 * - `late`: the call runs, and its answer is late.
 * - `lost`: the call runs, and its connection is reset before the answer.
 * - `silent`: the call runs, and nothing comes back over the open connection.
 * - `crossed`: the call runs, and its answer carries another request's id.
 * - `refused`: the call does not run.
 */
export type ServiceFault =
    | { readonly kind: "late"; readonly delayMs: number; }
    | { readonly kind: "lost" | "silent"; }
    | { readonly kind: "crossed"; readonly id: string; }
    | { readonly kind: "refused"; readonly status: number; };
