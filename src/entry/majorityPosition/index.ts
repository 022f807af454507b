import { UsageAck } from "../../control/index.js";

/**
 * Returns the position up to which a majority of the voters has stored a run's usage.
 *
 * @param acks - Latest acknowledgements of the control processes that could be reached. Two of them may be of the same process, reached at two
 * addresses.
 * @returns 0 when fewer than a majority of the voters is among them.
 * @example
 * if (findMajorityPosition(acks) >= report.upTo) release(report);
 */
export function findMajorityPosition(acks: readonly UsageAck[]): number {
    const voters = Math.max(0, ...acks.map(ack => ack.voters));
    const positions = new Map(acks.filter(({ isVoter }) => isVoter).map(ack => [ack.storeId, ack.position]));
    const descending = [...positions.values()].sort((a, b) => b - a);
    return descending[Math.floor(voters / 2)] ?? 0;
}
