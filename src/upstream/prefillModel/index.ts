/** What an upstream must do for a prompt before its first token. */
export interface PrefillWork {
    /** Prompt tokens that it has to read. */
    readonly tokens: number;
    /** Tokens before them that it holds already: each token read attends to all before it. */
    readonly held: number;
}

/**
 * What is assumed before anything was learned, in milliseconds: an answer's first token on an idle engine, a thousand tokens of its prompt,
 * a million pairs of a token and one before it. Those of a mid-size model on current hardware.
 */
const USUAL: readonly number[] = [30, 20, 0.5];
/** For how many observations of an ordinary prompt the assumption stands. */
const USUAL_WEIGHT = 2;
/** How much of what was learned is kept at each observation: the last hundred count. */
const KEPT = 0.99;
/** An observation beyond so many times the prediction, and a moment, tells of a fault and not of reading. */
const ODD_FACTOR = 3;
const ODD_MS = 200;
/** Reading never takes less than this share of what is assumed. */
const LEAST_SHARE = 0.05;

/**
 * How long the upstreams of a pool take to a first token: a fixed time, a time for each token read, and one for each pair of a token
 * and one before it, which makes the end of a long prompt slower than its beginning. Least squares over the last observations.
 *
 * @example
 * model.learn({ tokens: 2_000, held: 6_000 }, 160);
 * model.readMs({ tokens: 4_000, held: 0 });
 */
export class PrefillModel {
    private readonly products = USUAL.map((_, row) =>
        USUAL.map((_, column): number => row === column ? USUAL_WEIGHT : 0)
    );
    private readonly sums = USUAL.map(value => USUAL_WEIGHT * value);
    private factors = [...USUAL];

    /** From sending to the first token of a prompt that needs no reading, on an idle upstream, in milliseconds. */
    get baseMs(): number {
        return this.factors[0];
    }

    /** How long an idle upstream takes to read, in milliseconds. */
    readMs(work: PrefillWork): number {
        return thousandsOf(work) * this.factors[1] + pairsOf(work) * this.factors[2];
    }

    /** Takes in how long an upstream took to a first token that had nothing else to read, in milliseconds. */
    learn(work: PrefillWork, tookMs: number): void {
        const features = describe(work);
        const tookAtMost = ODD_FACTOR * (this.baseMs + this.readMs(work)) + ODD_MS;
        const took = Math.min(tookMs, tookAtMost);
        for (const [row, value] of features.entries()) {
            this.sums[row] = fade(this.sums[row], USUAL_WEIGHT * USUAL[row]) + value * took;
            for (const [column, other] of features.entries()) {
                const usual = row === column ? USUAL_WEIGHT : 0;
                this.products[row][column] = fade(this.products[row][column], usual) + value * other;
            }
        }
        this.factors = solve(this.products, this.sums).map((value, at) => Math.max(LEAST_SHARE * USUAL[at], value));
    }
}

/** One, thousands of tokens, millions of pairs. */
function describe(work: PrefillWork): readonly [number, number, number] {
    return [1, thousandsOf(work), pairsOf(work)];
}

function thousandsOf({ tokens }: PrefillWork): number {
    return tokens / 1_000;
}

function pairsOf({ tokens, held }: PrefillWork): number {
    return tokens * (held + tokens / 2) / 1_000_000;
}

/** What was learned fades; what is assumed stays. */
function fade(value: number, usual: number): number {
    return usual + KEPT * (value - usual);
}

/** Solves a small system of equations with positive diagonal, by elimination. */
function solve(products: readonly (readonly number[])[], sums: readonly number[]): number[] {
    const rows = products.map((row, at) => [...row, sums[at]]);
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
