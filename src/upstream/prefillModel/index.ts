/** Prefill that an upstream must do for a prompt before its first token. */
export interface PrefillWork {
    /** Prompt tokens to process. */
    readonly tokens: number;
    /** Cached tokens that precede them: each processed token attends to all tokens before it. */
    readonly held: number;
}

/**
 * Factors assumed before any observation, in milliseconds: first token on an idle engine, a thousand prompt tokens, a
 * million pairs of a token and an earlier one. Typical of a mid-size model on current hardware.
 */
const INITIAL_FACTORS: readonly number[] = [30, 20, 0.5];
/** Number of observations of an ordinary prompt that the initial factors count as. */
const PRIOR_WEIGHT = 2;
/** Share of the accumulated observations kept at each new one: effectively the last hundred count. */
const RETENTION = 0.99;
/**
 * An observation longer than the prediction times this factor, plus the margin, indicates a fault rather than slow
 * prefill, and is capped.
 */
const OUTLIER_FACTOR = 3;
const OUTLIER_MARGIN_MS = 200;
/** Lower bound of each learned factor, as a share of its initial value. */
const MIN_FACTOR_SHARE = 0.05;

/**
 * Predicts how long the upstreams of a pool take to a first token: a fixed time, a time per processed token, and a time
 * per pair of a token and an earlier one, which makes the end of a long prompt slower than its beginning. The factors
 * are fitted by least squares over the latest observations.
 *
 * @example
 * model.learn({ tokens: 2_000, held: 6_000 }, 160);
 * model.prefillMs({ tokens: 4_000, held: 0 });
 */
export class PrefillModel {
    private readonly normalMatrix = INITIAL_FACTORS.map((_, row) =>
        INITIAL_FACTORS.map((_, column): number => row === column ? PRIOR_WEIGHT : 0)
    );
    private readonly normalVector = INITIAL_FACTORS.map(value => PRIOR_WEIGHT * value);
    private factors = [...INITIAL_FACTORS];

    /** Time from sending to the first token of a fully cached prompt on an idle upstream, in milliseconds. */
    get baseMs(): number {
        return this.factors[0];
    }

    /** Returns the duration of a prefill on an idle upstream, in milliseconds. */
    prefillMs(work: PrefillWork): number {
        return kiloTokens(work) * this.factors[1] + megaPairs(work) * this.factors[2];
    }

    /** Learns from the time to a first token of an upstream that had no other prefill to do, in milliseconds. */
    learn(work: PrefillWork, tookMs: number): void {
        const features = featuresOf(work);
        const maxTookMs = OUTLIER_FACTOR * (this.baseMs + this.prefillMs(work)) + OUTLIER_MARGIN_MS;
        const cappedTookMs = Math.min(tookMs, maxTookMs);
        for (const [row, value] of features.entries()) {
            this.normalVector[row] = decayToPrior(this.normalVector[row], PRIOR_WEIGHT * INITIAL_FACTORS[row])
                + value * cappedTookMs;
            for (const [column, other] of features.entries()) {
                const prior = row === column ? PRIOR_WEIGHT : 0;
                this.normalMatrix[row][column] = decayToPrior(this.normalMatrix[row][column], prior) + value * other;
            }
        }
        this.factors = solveLinearSystem(this.normalMatrix, this.normalVector).map((value, at) =>
            Math.max(MIN_FACTOR_SHARE * INITIAL_FACTORS[at], value)
        );
    }
}

/** Returns the regression features: 1, thousands of tokens, millions of token pairs. */
function featuresOf(work: PrefillWork): readonly [number, number, number] {
    return [1, kiloTokens(work), megaPairs(work)];
}

function kiloTokens({ tokens }: PrefillWork): number {
    return tokens / 1_000;
}

function megaPairs({ tokens, held }: PrefillWork): number {
    return tokens * (held + tokens / 2) / 1_000_000;
}

/** Decays learned values towards the prior, which keeps its weight. */
function decayToPrior(value: number, prior: number): number {
    return prior + RETENTION * (value - prior);
}

/** Solves a small system of linear equations with a positive diagonal by elimination. */
function solveLinearSystem(matrix: readonly (readonly number[])[], vector: readonly number[]): number[] {
    const rows = matrix.map((row, at) => [...row, vector[at]]);
    const size = rows.length;
    for (let pivot = 0; pivot < size; pivot++) {
        for (let row = 0; row < size; row++) {
            if (row === pivot) continue;
            const factor = rows[row][pivot] / rows[pivot][pivot];
            for (let column = pivot; column <= size; column++) rows[row][column] -= factor * rows[pivot][column];
        }
    }
    return rows.map((row, at) => row[size] / row[at]);
}
