import { Random } from "../../../ports/index.js";
import { formatRawStream, Framing, FRAMINGS } from "../../formatRawStream/index.js";
import { RawReply, RawRequest } from "../../rawUpstream/index.js";
import { STREAM_ROUTES } from "../garblePlan/index.js";
import { AskedStream, STREAM_SHAPES, StreamShape } from "../streamShapes/index.js";
import { findStreamStyle, numberOf } from "../streamStyles/index.js";

/** A stream that an upstream sent. */
export interface ServedStream extends AskedStream {
    readonly request: string;
    readonly upstream: string;
    readonly shape: StreamShape;
    readonly framing: Framing;
    /** Number of the event that is spoilt, where the shape spoils one. */
    readonly at: number;
}

/** What an upstream sends, and the bytes of it. */
export interface GarbledReply {
    readonly served: ServedStream;
    readonly reply: RawReply;
}

const MAX_WORK_MS = 40;
const MAX_GAP_MS = 60;
const SOUND_SHAPES = STREAM_SHAPES.filter(({ isFaulty }) => !isFaulty);
const FAULTY_SHAPES = STREAM_SHAPES.filter(({ isFaulty }) => isFaulty);

/**
 * Draws how an upstream serves a stream.
 *
 * @param share - Share of streams that it spoils, from 0 to 1.
 * @example
 * const { served, reply } = drawGarbledReply(random, 0.5, request, "upstream-1");
 */
export function drawGarbledReply(random: Random, share: number, request: RawRequest, upstream: string): GarbledReply {
    const asked = readAskedStream(request);
    const framing = random.pick(FRAMINGS);
    const isLeft = asked.from <= asked.total;
    const shapes = random.next() < share && isLeft ? FAULTY_SHAPES : SOUND_SHAPES;
    const at = isLeft ? random.integer(asked.from, asked.total + 1) : asked.from;
    const shape = random.pick(shapes.filter(each => isFitting(each, asked, at, framing)));
    const served = { ...asked, request: request.id, upstream, shape, framing, at };
    const delayMs = random.between(0, MAX_WORK_MS);
    return { served, reply: { ...formatServedStream(served), delayMs, gapMs: random.between(0, MAX_GAP_MS) } };
}

/** Formats a stream as an upstream sends it, without pauses. */
export function formatServedStream(served: ServedStream): RawReply {
    const { request, shape, framing, at } = served;
    // Behind the last event there is nothing to spoil.
    const stream = served.from > served.total ? { parts: [] } : shape.make(served, at, framing);
    return { ...formatRawStream({ id: request, framing, ...stream }), delayMs: 0, runs: true, resets: false };
}

/** Reads which events a request asks for: its path is `/ROUTE/RUN/TOTAL/STYLE`. */
export function readAskedStream({ path, lastEventId }: Pick<RawRequest, "path" | "lastEventId">): AskedStream {
    const [, route, run, total, styleName] = path.split("/");
    const style = findStreamStyle(styleName);
    const isResumable = STREAM_ROUTES.some(each => each.name === route && each.isResumable);
    const from = lastEventId === undefined ? 1 : numberOf(style, Number(lastEventId)) + 1;
    return { run, isResumable, from, style, total: Number(total) };
}

function isFitting(shape: StreamShape, asked: AskedStream, at: number, framing: Framing): boolean {
    const { framings, isForResumptions } = shape;
    if (isForResumptions && asked.from === 1) return false;
    return (framings?.includes(framing) ?? true) && (shape.isFitting?.(asked, at) ?? true);
}
