import { Clock } from "../clock/index.js";
import { HttpReply } from "../http/index.js";

/** Maximum size of the rest of a response that is read so that its connection can be reused, in bytes. */
const MAX_DISCARDED_BYTES = 64 * 1024;
/** Maximum time for that, in milliseconds. */
const MAX_DISCARD_MS = 1_000;

/**
 * Reads a response's body, and resets the response when that takes too long.
 *
 * A timeout for the response's headers does not bound the body, which may come slowly or have no end.
 *
 * @param timeoutMs - Maximum time for the body, in milliseconds.
 * @param read - Reads the body; fails when the response is reset.
 * @returns What `read` returns.
 * @example
 * const text = await readWithin(reply, clock, 500, () => readReplyText(reply, MAX_BYTES));
 */
export async function readWithin<Result>(
    reply: HttpReply,
    clock: Clock,
    timeoutMs: number,
    read: () => Promise<Result>,
): Promise<Result> {
    const timer = clock.after(timeoutMs, () => reply.reset());
    try {
        return await read();
    }
    finally {
        timer.cancel();
    }
}

/**
 * Reads and discards a response's body, so that its connection can be reused. A body that is long or does not end soon is reset
 * instead.
 */
export async function discardReply(reply: HttpReply, clock: Clock): Promise<void> {
    try {
        await readWithin(reply, clock, MAX_DISCARD_MS, () => discardBody(reply));
    }
    catch {
        // The connection ended, so it can't be reused.
    }
}

async function discardBody(reply: HttpReply): Promise<void> {
    let size = 0;
    for await (const chunk of reply.body) {
        size += chunk.length;
        if (size > MAX_DISCARDED_BYTES) return reply.reset();
    }
}
