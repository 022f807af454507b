import { Random } from "../../../ports/index.js";
import { formatRawStream, Framing, FRAMINGS } from "../../formatRawStream/index.js";
import { RawReply, RawRequest } from "../../rawUpstream/index.js";
import { AskedStream, STREAM_SHAPES, StreamShape } from "../streamShapes/index.js";

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
    const shape = random.pick(shapes.filter(each => isFitting(each, asked, framing)));
    const at = isLeft ? random.integer(asked.from, asked.total + 1) : asked.from;
    return { served: { ...asked, request: request.id, upstream, shape, framing, at }, reply: formatReply() };

    function formatReply(): RawReply {
        const stream = formatRawStream({ id: request.id, framing, ...makeStream(shape, asked, at, framing) });
        const delayMs = random.between(0, MAX_WORK_MS);
        return { ...stream, delayMs, gapMs: random.between(0, MAX_GAP_MS), runs: true, resets: false };
    }
}

/** Reads which events a request asks for: its path ends in `/RUN/TOTAL`. */
export function readAskedStream({ path, lastEventId }: Pick<RawRequest, "path" | "lastEventId">): AskedStream {
    const [, , run, total] = path.split("/");
    return { run, total: Number(total), from: (Number(lastEventId) || 0) + 1 };
}

function isFitting({ framings, isForResumptions }: StreamShape, { from }: AskedStream, framing: Framing): boolean {
    if (isForResumptions && from === 1) return false;
    return framings === undefined || framings.includes(framing);
}

/** Behind the last event there is nothing to spoil. */
function makeStream(shape: StreamShape, asked: AskedStream, at: number, framing: Framing) {
    return asked.from > asked.total ? { parts: [] } : shape.make(asked, at, framing);
}
