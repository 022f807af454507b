/** Maximum length of an incomplete event, in characters. */
const MAX_EVENT_CHARACTERS = 1_048_576;

/** An invalid event stream. */
export class EventStreamError extends Error {}

/**
 * Parses server-sent events from a response body.
 *
 * @param body - Bytes of the body.
 * @returns The data of each complete event.
 * @throws EventStreamError when an event exceeds the maximum length. Errors of the body are passed on.
 * @example
 * for await (const data of readEvents(reply.body)) handle(data);
 */
export async function* readEvents(body: AsyncIterable<Uint8Array>): AsyncIterable<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const bytes of body) {
        rest += decoder.decode(bytes, { stream: true });
        const events = rest.split(/\r?\n\r?\n/);
        rest = events.pop()!;
        if (rest.length > MAX_EVENT_CHARACTERS) throw new EventStreamError("an event without end");
        for (const event of events) {
            const data = parseData(event);
            if (data !== undefined) yield data;
        }
    }
}

function parseData(event: string): string | undefined {
    const lines = event.split(/\r?\n/).filter(line => line.startsWith("data:"));
    return lines.length === 0 ? undefined : lines.map(line => line.replace(/^data: ?/, "")).join("\n");
}
