import * as z from "zod";
import { expectedAnswer } from "../../emulator/index.js";
import { Address, Clock, formatAddress, Http } from "../../ports/index.js";
import { ENGINE_PATHS, STREAM_DONE } from "../../protocol/index.js";
import { tryParseJson } from "../_lib/parseErrorResult.js";
import { computePercentiles, Percentiles } from "../computePercentiles/index.js";
import { readEvents } from "../readEvents/index.js";

/** Options of a measurement of engines on the direct path, without the router in between. */
export interface MeasureConfig {
    /** Addresses of the engines; each concurrent sender uses one of them, assigned round robin. */
    readonly engines: readonly Address[];
    readonly model: string;
    /** Number of concurrent requests over all engines together. */
    readonly concurrency: number;
    /** Number of requests that each concurrent sender sends in sequence. */
    readonly rounds: number;
    /** Length of each answer, in tokens. */
    readonly tokens: number;
    /** Length of each prompt, in characters. */
    readonly promptCharacters: number;
}

/** Measured performance of engines on the direct path. */
export interface Measurement {
    readonly tokensPerSecond: number;
    /** Time to the first token, in milliseconds. */
    readonly firstToken: Percentiles;
    /** Distribution over streams of the mean time between tokens, in milliseconds. */
    readonly tokenGap: Percentiles;
    /** Number of answers that were incomplete or wrong. */
    readonly broken: number;
}

interface StreamResult {
    readonly firstTokenMs: number;
    readonly meanGapMs: number;
    readonly isComplete: boolean;
}

const TIMEOUT_MS = 60_000;
const MS_PER_SECOND = 1_000;
const chunkSchema = z.looseObject({
    choices: z.array(z.looseObject({ delta: z.looseObject({ content: z.string().optional() }) })),
});

/**
 * Measures engines under a constant number of concurrent requests.
 *
 * @param http - HTTP port for the requests.
 * @param clock - Clock for the measured times.
 * @param cfg - Options of the measurement.
 */
export async function measureEngines(http: Http, clock: Clock, cfg: MeasureConfig): Promise<Measurement> {
    const startedAt = clock.monotonic();
    const runWorker = async (worker: number): Promise<StreamResult[]> => {
        const results: StreamResult[] = [];
        for (let round = 0; round < cfg.rounds; round++) {
            results.push(await measureStream(http, clock, cfg, `w${worker}-${round}`, worker));
        }
        return results;
    };
    const workers = Array.from({ length: cfg.concurrency }, (_, worker) => runWorker(worker));
    const streams = (await Promise.all(workers)).flat();
    const seconds = (clock.monotonic() - startedAt) / MS_PER_SECOND;
    return {
        tokensPerSecond: streams.length * cfg.tokens / seconds,
        firstToken: computePercentiles(streams.map(stream => stream.firstTokenMs)),
        tokenGap: computePercentiles(streams.map(stream => stream.meanGapMs)),
        broken: streams.filter(stream => !stream.isComplete).length,
    };
}

async function measureStream(
    http: Http,
    clock: Clock,
    cfg: MeasureConfig,
    id: string,
    worker: number,
): Promise<StreamResult> {
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
        newConnection: false,
        connectTimeoutMs: TIMEOUT_MS,
        headTimeoutMs: TIMEOUT_MS,
    });
    if (sent.isLeft()) return { firstTokenMs: 0, meanGapMs: 0, isComplete: false };
    let firstTokenAt: number | undefined;
    let answer = "";
    let isDone = false;
    for await (const data of readEvents(sent.unsafeCoerce().body)) {
        if (data === STREAM_DONE) isDone = true;
        else answer += readContent(data);
        firstTokenAt ??= clock.monotonic();
    }
    const firstTokenMs = (firstTokenAt ?? startedAt) - startedAt;
    return {
        firstTokenMs,
        meanGapMs: (clock.monotonic() - startedAt - firstTokenMs) / Math.max(1, cfg.tokens - 1),
        isComplete: isDone && answer === expectedAnswer(messages, cfg.tokens),
    };
}

function readContent(data: string): string {
    const chunk = chunkSchema.safeParse(tryParseJson(data));
    return chunk.success ? chunk.data.choices[0]?.delta.content ?? "" : "";
}
