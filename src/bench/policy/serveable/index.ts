import { PoolShape } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { idealSlotMs, PlannedRequest } from "../traffic/index.js";

interface Work {
    readonly fromMs: number;
    readonly byMs: number;
    leftMs: number;
    readonly tokensPerMs: number;
}

const BUCKET_MS = 100;

/**
 * How many tokens of answers the running engines could have served in time: an upper bound that no policy reaches.
 * Work flows into the slots like water, the earliest deadline first, with every prefix cached and no message under way;
 * what is not done by its target plus its own length is lost.
 */
export function serveableTokens(
    pool: PoolShape,
    engines: readonly EngineFake[],
    requests: readonly PlannedRequest[],
): number {
    const works: Work[] = requests.map(request => {
        const slotMs = idealSlotMs(request, pool);
        const byMs = request.atMs + request.shape.firstTokenMs + slotMs;
        return { fromMs: request.atMs, byMs, leftMs: slotMs, tokensPerMs: request.answerTokens / slotMs };
    });
    const endMs = works.reduce((end, work) => Math.max(end, work.byMs), 0);
    let open: Work[] = [];
    let next = 0;
    let tokens = 0;
    for (let atMs = 0; atMs < endMs; atMs += BUCKET_MS) {
        while (next < works.length && works[next].fromMs < atMs + BUCKET_MS) open.push(works[next++]);
        open = open.filter(work => work.leftMs > 0 && work.byMs > atMs).sort((a, b) => a.byMs - b.byMs);
        tokens += pour(open, slotsAt(engines, atMs) * BUCKET_MS);
    }
    return tokens;
}

function slotsAt(engines: readonly EngineFake[], atMs: number): number {
    return engines.filter(engine => engine.startedAt <= atMs && (engine.endedAt ?? Infinity) > atMs)
        .reduce((sum, engine) => sum + engine.shape.slots, 0);
}

/** One request fills one slot at the most. */
function pour(open: readonly Work[], capacityMs: number): number {
    let left = capacityMs;
    let tokens = 0;
    for (const work of open) {
        const usedMs = Math.min(work.leftMs, BUCKET_MS, left);
        work.leftMs -= usedMs;
        left -= usedMs;
        tokens += usedMs * work.tokensPerMs;
        if (left <= 0) break;
    }
    return tokens;
}
