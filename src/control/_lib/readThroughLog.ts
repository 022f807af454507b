import { Either } from "purify-ts";
import { ReplicatedLog } from "../../consensus/index.js";
import { ChangeUnavailableError } from "../durableChange/index.js";

/** Timeout of the read barrier, in milliseconds. */
const READ_TIMEOUT_MS = 700;

/**
 * Performs a linearizable read: reads the replicated state once every entry committed before the call is applied here.
 *
 * @param log - The control log.
 * @param read - Reads the value from the replicated state.
 * @returns The value; an error when this process can't confirm that its state is up to date.
 */
export async function readThroughLog<Value>(
    log: Pick<ReplicatedLog, "readBarrier">,
    read: () => Value,
): Promise<Either<ChangeUnavailableError, Value>> {
    const barrier = await log.readBarrier(READ_TIMEOUT_MS);
    return barrier.map(read).mapLeft(err => new ChangeUnavailableError(`no read: ${err.message}`));
}
