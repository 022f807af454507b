import { Random } from "../../../ports/index.js";
import { formatRawAnswer, RawAnswer } from "../../rawAnswer/index.js";
import { RawReply, RawRequest } from "../../rawUpstream/index.js";

/** What an upstream does in a phase of the run, as shares of its requests from 0 to 1. */
export interface UpstreamHabit {
    /** Refuses requests truthfully, with their id. */
    readonly refuses: number;
    /** Runs requests, and sends an answer that is wrong or none. */
    readonly errs: number;
    /** Sends an answer once more. */
    readonly copies: number;
}

/** Draws the parts of an answer that are not as usual, and whether the request is run. */
type Draw = (
    random: Random,
    id: string,
) => Omit<Partial<RawReply>, "bytes"> & { readonly answer?: Partial<RawAnswer>; };

const MAX_WORK_MS = 60;
const MAX_COPY_DELAY_MS = 250;
/** Longer than the timeout of each route. */
const SILENCE_MS = 2_500;
const MISSING_BYTES = 3;
/** Statuses of answers that state nothing about the run. */
const PLAIN_STATUSES = [400, 404, 408, 421, 429, 500, 502, 503, 504] as const;

/** Truthful refusals. */
const REFUSALS: readonly Draw[] = [
    (_, id) => ({ answer: { status: 503, ids: [id], statesNotRun: true } }),
    (_, id) => ({ answer: { status: 503, ids: [id], statesNotRun: true } }),
    (_, id) => ({ answer: { status: 429, ids: [id], statesNotRun: true } }),
    (_, id) => ({ answer: { status: 421, ids: [id] } }),
    (_, id) => ({ resets: true, answer: { status: 503, ids: [id], statesNotRun: true, missingBytes: MISSING_BYTES } }),
];

/** Answers that prove nothing about whether the request has run. */
const ERRORS: readonly Draw[] = [
    () => ({ answer: { status: 503, statesNotRun: true } }),
    () => ({ answer: { status: 421 } }),
    (_, id) => ({ answer: { status: 503, ids: [`other-${id}`], statesNotRun: true } }),
    (_, id) => ({ answer: { status: 503, ids: [id, `other-${id}`], statesNotRun: true } }),
    (_, id) => ({ answer: { status: 503, ids: [`${id}, other-${id}`], statesNotRun: true } }),
    (_, id) => ({ answer: { status: 200, ids: [id], statesNotRun: true } }),
    (random, id) => ({ answer: { status: pickPlainStatus(random), ids: [id] } }),
    random => ({ answer: { status: pickPlainStatus(random) } }),
    () => ({ answer: {} }),
    () => ({ resets: true }),
    (_, id) => ({ resets: true, answer: { ids: [id], missingBytes: MISSING_BYTES } }),
    (_, id) => ({ resets: true, answer: { ids: [id] } }),
    (_, id) => ({ delayMs: SILENCE_MS, answer: { ids: [id] } }),
    (_, id) => ({ delayMs: SILENCE_MS, answer: { status: 503, ids: [id] } }),
];

/**
 * Draws what an upstream does with a request. It never states of a request that it runs, with the request's id, that it has not run it.
 *
 * @param isStream - Whether its success is a stream of events.
 * @example
 * const reply = drawRawReply(random, { refuses: 0.6, errs: 0.1, copies: 0.5 }, request, false);
 */
export function drawRawReply(
    random: Random,
    { refuses, errs, copies }: UpstreamHabit,
    { id }: Pick<RawRequest, "id">,
    isStream: boolean,
): RawReply {
    const kind = random.next();
    const copy = random.next() < copies ? drawCopy(random) : undefined;
    const delayMs = random.between(0, MAX_WORK_MS);
    const usual = { delayMs, copy, runs: true, resets: false };
    if (kind < refuses) {
        return format({ ...usual, runs: false, delayMs: delayMs / 4, ...random.pick(REFUSALS)(random, id) }, id, false);
    }
    if (kind < refuses + errs) {
        const runs = random.next() < 0.8;
        return format({ ...usual, runs, ...random.pick(ERRORS)(random, id) }, id, isStream);
    }
    return format({ ...usual, answer: { ids: [id] } }, id, isStream);
}

function pickPlainStatus(random: Random): number {
    // 421 with the id is a statement.
    return random.pick(PLAIN_STATUSES.filter(status => status !== 421));
}

function drawCopy(random: Random): number | "next-request" {
    return random.pick(["next-request", "next-request", 0, random.between(0, MAX_COPY_DELAY_MS)]);
}

function format(
    { answer, ...reply }: Omit<RawReply, "bytes"> & { readonly answer?: Partial<RawAnswer>; },
    id: string,
    isStream: boolean,
): RawReply {
    if (!answer) return reply;
    const isEvents = isStream && (answer.status ?? 200) === 200;
    const body = isEvents ? `id: 1\ndata: [${id}]\n\n` : `the answer to [${id}]`;
    return { ...reply, bytes: formatRawAnswer({ body, isStream: isEvents, ...answer }) };
}
