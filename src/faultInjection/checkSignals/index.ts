import { Arrival, EmulatedCallUpstream } from "../../emulator/index.js";
import { InvariantError } from "../recordingStateMachine/index.js";

/** Time after an answer in which requests granted before may still arrive, in milliseconds. */
const IN_FLIGHT_MS = 500;
/** Number of requests that may reach an upstream from one host within a back-off. */
const MAX_REQUESTS_WITHIN_BACK_OFF = 2;
/** Time after which a host sends nothing to an upstream that has told it that it leaves, in milliseconds. */
const DEPARTURE_OBEYED_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Times at which hosts were started, by IP address, in milliseconds on the monotonic clock. */
export type HostStarts = ReadonlyMap<string, readonly number[]>;

/**
 * Checks that each host obeyed what each upstream told it in its answers: back-offs, and that it leaves. A restart makes
 * a host forget, and an upstream's next run is not bound by what an earlier one told.
 *
 * @throws InvariantError if a host sent more than it may.
 */
export function checkSignals(upstreams: readonly EmulatedCallUpstream[], starts: HostStarts): void {
    for (const { arrivals } of upstreams) {
        for (const told of arrivals) {
            const later = arrivals.filter(arrival => isFromSameRun(arrival, told, starts));
            if (told.retryAfter !== undefined) checkBackOff(told, later);
            if (told.statesDeparture) checkDeparture(told, later);
        }
    }
}

function checkBackOff(told: Arrival, later: readonly Arrival[]): void {
    const endAt = told.at + MS_PER_SECOND * Number(told.retryAfter);
    const within = later.filter(({ at }) => at > told.at + IN_FLIGHT_MS && at < endAt);
    if (within.length <= MAX_REQUESTS_WITHIN_BACK_OFF) return;
    throw new InvariantError(`${told.from} was asked to back off at ${told.at} ms, and sent ${within.length} requests`);
}

function checkDeparture(told: Arrival, later: readonly Arrival[]): void {
    const late = later.filter(({ at }) => at > told.at + DEPARTURE_OBEYED_MS);
    if (late.length === 0) return;
    throw new InvariantError(`${told.from} was told of a departure at ${told.at} ms, and sent ${late.length} requests`);
}

/** Whether a request came after another one from the same run of the same host, to the same run of the upstream. */
function isFromSameRun(arrival: Arrival, earlier: Arrival, starts: HostStarts): boolean {
    if (arrival.from !== earlier.from || arrival.incarnation !== earlier.incarnation) return false;
    const wasRestarted = starts.get(earlier.from)?.some(at => at > earlier.at && at <= arrival.at) ?? false;
    return arrival.at > earlier.at && !wasRestarted;
}
