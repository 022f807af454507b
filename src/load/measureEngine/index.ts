import * as z from "zod";
import { expectedAnswer } from "../../emulator/index.js";
import { Address, Clock, formatAddress, Http } from "../../ports/index.js";
import { ENGINE_PATHS, STREAM_DONE } from "../../protocol/index.js";
import { parseOrUndefined } from "../_lib/readError.js";
import { readEvents } from "../eventStream/index.js";
import { Spread, spreadOf } from "../spread/index.js";

/** How engines are measured on the direct path, without the system between. */
export interface MeasureConfig {
    /** The engines; requests go to them in turn. */
    readonly engines: readonly Address[];
    readonly model: string;
    /** How many requests run at a time, on all engines together. */
    readonly concurrency: number;
    /** How many requests each of them sends, one after the other. */
    readonly rounds: number;
    /** Length of each answer. */
    readonly tokens: number;
    /** Length of each prompt, in characters. */
    readonly promptCharacters: number;
}

/** What engines gave on the direct path. */
export interface Measurement {
    readonly tokensPerSecond: number;
    readonly firstToken: Spread;
    /** Mean time between the tokens of one stream, over streams, in milliseconds. */
    readonly tokenGap: Spread;
    /** Answers that were not whole. */
    readonly broken: number;
}

interface StreamTimes {
    readonly firstMs: number;
    readonly gapMs: number;
    readonly isWhole: boolean;
}

const TIMEOUT_MS = 60_000;
const MS_PER_SECOND = 1_000;
const chunkSchema = z.looseObject({
    choices: z.array(z.looseObject({ delta: z.looseObject({ content: z.string().optional() }) })),
});

/**
 * Measures engines under a steady number of requests.
 *
 * @param http - How to reach them.
 * @param clock - What the times are read from.
 * @param cfg - How they are loaded.
 */
export async function measureEngines(http: Http, clock: Clock, cfg: MeasureConfig): Promise<Measurement> {
    const startedAt = clock.monotonic();
    const runOne = async (worker: number): Promise<StreamTimes[]> => {
        const times: StreamTimes[] = [];
        for (let round = 0; round < cfg.rounds; round++) {
            times.push(await streamOnce(http, clock, cfg, `w${worker}-${round}`, worker));
        }
        return times;
    };
    const workers = Array.from({ length: cfg.concurrency }, (_, worker) => runOne(worker));
    const streams = (await Promise.all(workers)).flat();
    const seconds = (clock.monotonic() - startedAt) / MS_PER_SECOND;
    return {
        tokensPerSecond: streams.length * cfg.tokens / seconds,
        firstToken: spreadOf(streams.map(stream => stream.firstMs)),
        tokenGap: spreadOf(streams.map(stream => stream.gapMs)),
        broken: streams.filter(stream => !stream.isWhole).length,
    };
}

async function streamOnce(
    http: Http,
    clock: Clock,
    cfg: MeasureConfig,
    id: string,
    worker: number,
): Promise<StreamTimes> {
    const address = cfg.engines[worker % cfg.engines.length];
    const text = `${id} `.padEnd(cfg.promptCharacters, "x");
    const messages = [{ role: "user", content: `${text} [tokens=${cfg.tokens}]` }];
    const body = Buffer.from(JSON.stringify({
        model: cfg.model,
        messages,
        max_tokens: cfg.tokens,
        stream: true,
        request_id: id,
        priority: 0,
    }));
    const startedAt = clock.monotonic();
    const sent = await http.send({
        address,
        method: "POST",
        path: ENGINE_PATHS.chat,
        headers: [["host", formatAddress(address)], ["content-length", String(body.length)]],
        body,
        fresh: false,
        connectTimeoutMs: TIMEOUT_MS,
        headTimeoutMs: TIMEOUT_MS,
    });
    if (sent.isLeft()) return { firstMs: 0, gapMs: 0, isWhole: false };
    let firstAt: number | undefined;
    let answer = "";
    let isDone = false;
    for await (const data of readEvents(sent.unsafeCoerce().body)) {
        if (data === STREAM_DONE) isDone = true;
        else answer += readContent(data);
        firstAt ??= clock.monotonic();
    }
    const firstMs = (firstAt ?? startedAt) - startedAt;
    return {
        firstMs,
        gapMs: (clock.monotonic() - startedAt - firstMs) / Math.max(1, cfg.tokens - 1),
        isWhole: isDone && answer === expectedAnswer(messages, cfg.tokens),
    };
}

function readContent(data: string): string {
    const chunk = chunkSchema.safeParse(parseOrUndefined(data));
    return chunk.success ? chunk.data.choices[0]?.delta.content ?? "" : "";
}
