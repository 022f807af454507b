/** How long a line of an event stream may get, in characters. */
const LONGEST_EVENT = 1_048_576;

/** An event stream that is not one. */
export class EventStreamError extends Error {}

/**
 * Splits server-sent events off a body.
 *
 * @param body - The answer's bytes.
 * @returns The data of each event.
 * @throws EventStreamError when an event grows without end; what the body throws goes through.
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
        if (rest.length > LONGEST_EVENT) throw new EventStreamError("an event without end");
        for (const event of events) {
            const data = readData(event);
            if (data !== undefined) yield data;
        }
    }
}

function readData(event: string): string | undefined {
    const lines = event.split(/\r?\n/).filter(line => line.startsWith("data:"));
    return lines.length === 0 ? undefined : lines.map(line => line.replace(/^data: ?/, "")).join("\n");
}
