import { InvariantError } from "../recordingStateMachine/index.js";
import { listSoftware, StreamOutcome } from "../streamCaller/index.js";

/** What callers that take streams up again got. */
export interface ResumptionTally {
    /** Streams that were begun, and those that brought an event. */
    readonly sent: number;
    readonly begun: number;
    /** Streams that were taken up while their version served, and those that went on. */
    readonly resumed: number;
    readonly continued: number;
}

/** A software version that serves, as far as a try at a time is concerned. */
export type IsServing = (software: string, at: number) => boolean;

/**
 * Checks the events of one stream over all tries of its caller.
 *
 * @param events - Number of events of a whole stream.
 * @throws InvariantError when they come from several software versions, when one is missing or comes twice, or when an incomplete stream
 * ended as complete.
 */
export function checkStream(stream: StreamOutcome, events: number): void {
    const description = describeStream(stream);
    if (listSoftware(stream).length > 1) throw new InvariantError(`two software versions: ${description}`);
    const isInOrder = stream.events.every(({ id }, index) => id === index + 1);
    if (!isInOrder) throw new InvariantError(`events are missing or come twice: ${description}`);
    if (stream.isWhole && stream.events.length !== events) {
        throw new InvariantError(`ends as complete after ${stream.events.length} of ${events} events: ${description}`);
    }
}

/**
 * Checks that no try that was refused as not run has reached an upstream.
 *
 * @param ran - The ids of the tries that upstreams ran.
 * @throws InvariantError when one has.
 */
export function checkRefusals({ tries }: StreamOutcome, ran: ReadonlySet<string>): void {
    const untrue = tries.find(({ status, request }) => status === 503 && ran.has(request));
    if (untrue) throw new InvariantError(`${untrue.request} was refused as not run, but ran`);
}

/** Counts streams that begin, and streams that go on when they are taken up while their version serves. */
export function tallyResumptions(streams: readonly StreamOutcome[], isServing: IsServing): ResumptionTally {
    const resumed = streams.filter(stream => isJudged(stream, isServing));
    return {
        sent: streams.length,
        begun: streams.filter(({ events }) => events.length > 0).length,
        resumed: resumed.length,
        continued: resumed.filter(({ tries }) => tries.some(hasContinued)).length,
    };
}

function isJudged({ tries, events }: StreamOutcome, isServing: IsServing): boolean {
    const resumption = tries.find(({ isResumption }) => isResumption);
    return resumption !== undefined && isServing(events[0].software, resumption.sentAt);
}

function hasContinued({ isResumption, status, isWhole, events }: StreamOutcome["tries"][number]): boolean {
    return isResumption && (events.length > 0 || (status === 200 && isWhole));
}

function describeStream({ tries }: StreamOutcome): string {
    return tries.map(({ request, entry, status, events }) => {
        const parts = events.map(({ id, software }) => `${id}:${software}`).join(" ");
        return `${request} at entry ${entry} (${status}) ${parts}`;
    }).join("; ");
}
