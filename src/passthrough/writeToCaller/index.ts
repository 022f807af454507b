import { HttpError } from "../../ports/index.js";
import { Attempt } from "../attempt/index.js";

/**
 * Writes part of an answer's body, and waits until the caller can receive more.
 *
 * A caller that does not read would otherwise hold the call, with its slot, beyond its deadline.
 *
 * @throws HttpError when the call is cancelled meanwhile.
 * @example
 * for await (const chunk of reply.body) await writeToCaller(attempt, chunk);
 */
export async function writeToCaller(
    { answer, run }: Pick<Attempt, "answer" | "run">,
    bytes: Uint8Array,
): Promise<void> {
    const { signal } = run;
    if (signal.aborted) throw makeError();
    let abort = (): void => undefined;
    const cancelled = new Promise<never>((_, reject) => {
        abort = () => reject(makeError());
        signal.addEventListener("abort", abort);
    });
    try {
        await Promise.race([answer.write(bytes), cancelled]);
    }
    finally {
        signal.removeEventListener("abort", abort);
    }
}

function makeError(): HttpError {
    return new HttpError("aborted", true, "while the caller was sent a part of the answer");
}
