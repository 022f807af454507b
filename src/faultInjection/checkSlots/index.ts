import { InvariantError } from "../recordingStateMachine/index.js";
import { RoutedFleet } from "../routedFleet/index.js";

/** Time in which the end of each call reaches the owners of queues, in milliseconds: its cause may have to be found out first. */
const SETTLING_MS = 2_000;

/** The slots that a process counts as taken. */
interface HeldSlots {
    readonly process: string;
    /** Granted by its queues and not ended. */
    readonly granted: number;
    /** In use by its own calls. */
    readonly used: number;
}

/**
 * Checks that no process counts a slot as taken once all calls have ended: each slot that is granted comes back.
 *
 * @throws InvariantError when one does.
 * @example
 * await fleet.run(Promise.all(replies));
 * await checkSlots(fleet);
 */
export async function checkSlots(fleet: RoutedFleet): Promise<void> {
    await fleet.advance(SETTLING_MS);
    const held = listHeldSlots(fleet).filter(({ granted, used }) => granted > 0 || used > 0);
    if (held.length === 0) return;
    const lines = held.map(({ process, granted, used }) => `${process}: ${granted} granted, ${used} used`);
    throw new InvariantError(`slots are taken though no call runs: ${lines.join("; ")}`);
}

function listHeldSlots({ entries, queues }: RoutedFleet): HeldSlots[] {
    const describe = (name: string, processes: RoutedFleet["entries"]): HeldSlots[] =>
        processes.flatMap((each, number) => each ? [{ process: `${name} ${number}`, ...each.countSlots() }] : []);
    return [...describe("entry", entries), ...describe("queue owner", queues)];
}
