import { RoutedFleet } from "../routedFleet/index.js";
import { TestReply } from "../testCaller/index.js";

/** Calls sent at a constant rate. */
export interface CallLoad {
    readonly seconds: number;
    /** 24 if left out. */
    readonly perSecond?: number;
    /** Numbers of the entries that they go through, in turn; all by default. */
    readonly entries?: readonly number[];
    /** The callers' API key. */
    readonly key: string;
}

const DEFAULT_CALLS_PER_S = 24;
const MS_PER_SECOND = 1_000;

/**
 * Sends calls at a constant rate, and advances time by its duration.
 *
 * @returns The replies, some of which may not have come yet.
 */
export async function sendCalls(
    fleet: RoutedFleet,
    { seconds, perSecond = DEFAULT_CALLS_PER_S, entries = [...fleet.entries.keys()], key }: CallLoad,
): Promise<Promise<TestReply>[]> {
    const replies: Promise<TestReply>[] = [];
    for (let call = 0; call < seconds * perSecond; call++) {
        const entry = entries[call % entries.length];
        replies.push(fleet.startCall({ entry, path: `/orders/${call}`, key }));
        await fleet.advance(MS_PER_SECOND / perSecond);
    }
    return replies;
}
