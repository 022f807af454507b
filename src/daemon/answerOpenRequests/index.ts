import { Clock, HttpListener } from "../../ports/index.js";

/**
 * Stops accepting at a listener, and waits until the requests that were read have their answers.
 *
 * @param limitMs - Maximum wait, in milliseconds.
 * @returns Whether all answers have been sent.
 * @example
 * const areAnswered = await answerOpenRequests(listener, clock, 2_000);
 */
export async function answerOpenRequests(listener: HttpListener, clock: Clock, limitMs: number): Promise<boolean> {
    void listener.stopAccepting();
    const timeout = new AbortController();
    await Promise.race([listener.whenAnswered(), clock.sleep(limitMs, timeout.signal)]);
    timeout.abort();
    return listener.countOpenAnswers().requests === 0;
}
