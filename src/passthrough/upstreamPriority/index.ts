/**
 * Converts the rank of a call to a priority that upstreams accept. Where there are more ranks than priorities, neighbouring ranks share one.
 *
 * @param rank - 0 is the most urgent.
 * @param rankCount - Number of ranks.
 * @param levels - Number of priorities that upstreams distinguish.
 * @returns The priority, from 0, which is the most urgent, to `levels - 1`.
 * @example
 * toUpstreamPriority(3, 6, 10); // 3
 * toUpstreamPriority(15, 20, 10); // 7
 */
export function toUpstreamPriority(rank: number, rankCount: number, levels: number): number {
    const priority = rankCount <= levels ? rank : Math.floor(rank * levels / rankCount);
    return Math.min(levels - 1, priority);
}
