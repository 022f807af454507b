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
    const newest = Math.max(0, ...acks.map(({ configurationVersion }) => configurationVersion ?? 0));
    const positions = new Map(acks.filter(ack => isCurrentVoter(ack, newest)).map(ack => [ack.storeId, ack.position]));
    const descending = [...positions.values()].sort((a, b) => b - a);
    return descending[Math.floor(voters / 2)] ?? 0;
}

/**
 * Returns whether a process is a voter by the newest committed configuration that any of them knows. A voter that was replaced while it was cut off takes
 * itself for one until it hears of that.
 */
function isCurrentVoter(
    { isVoter, configurationVersion = Number.POSITIVE_INFINITY }: UsageAck,
    newest: number,
): boolean {
    return isVoter && configurationVersion >= newest;
}
