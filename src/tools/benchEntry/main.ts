/**
 * The program behind `npm run bench:entry`: measures the overhead of one entry process against the direct path to the same
 * engines, in one run. Covers time to first token at low load, tokens per second and CPU time under load, and memory per
 * open stream. With `--check`, exits with 1 when a ratio exceeds its bound.
 */
import { cac } from "cac";
import { readFile } from "node:fs/promises";
import { OperatorApi } from "../../cli/index.js";
import { TraceHeader } from "../../load/index.js";
import { NodeHttp, parseAddress, SystemClock, SystemRandom } from "../../ports/index.js";
import { deployTrace } from "../deployTrace/index.js";
import { DEFAULT_PLAN, ProcessFleet } from "../fleet/index.js";
import { sendStream, StreamTarget } from "../sendStream/index.js";

/** Maximum values of the measured ratios. Absolute times would depend on the machine and its other load. */
const MAX_RATIOS = {
    /** Median time to first token through the entry, as a multiple of the direct path's median. */
    firstTokenRatio: 6,
    /** Time to complete all streams under load through the entry, as a multiple of the direct path's time. */
    loadedTimeRatio: 2,
} as const;

const MODEL = "draft";
const WARM_UP_COUNT = 200;
const SAMPLE_COUNT = 600;
const LOAD_STREAM_COUNT = 64;
const TOKENS_PER_LOAD_STREAM = 400;
const OPEN_STREAM_COUNT = 200;
const TOKENS_PER_OPEN_STREAM = 4_000;
const MS_PER_CPU_TICK = 10;

const TRACE_HEADER = {
    version: 1,
    name: "bench",
    zones: ["keflavik"],
    models: [MODEL],
    services: [],
    classes: [{
        name: "bench",
        tier: 0,
        first_token_ms: 60_000,
        token_ms: 1_000,
        max_wait_ms: 60_000,
        guaranteed_share: 0,
    }],
    workspaces: [{ name: "bench", weight: 1 }],
} as unknown as TraceHeader;

interface MeasuredPaths {
    readonly direct: StreamTarget;
    readonly routed: StreamTarget;
}

function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
}

/** Reads the CPU time of a process since its start, in milliseconds. */
async function readCpuMs(pid: number): Promise<number> {
    const fields = (await readFile(`/proc/${pid}/stat`, "utf8")).split(") ")[1].split(" ");
    const USER_FIELD = 11;
    const SYSTEM_FIELD = 12;
    return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) * MS_PER_CPU_TICK;
}

/** Reads the resident memory of a process, in kilobytes. */
async function readRssKb(pid: number): Promise<number> {
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)![1]);
}

/** Measures times to first token, alternating between the paths so that other load on the machine affects both alike. */
async function measureFirstTokenTimes(http: NodeHttp, { direct, routed }: MeasuredPaths) {
    const times = { direct: [] as number[], routed: [] as number[] };
    for (let i = 0; i < WARM_UP_COUNT + SAMPLE_COUNT; i++) {
        const directTimes = await sendStream(http, direct, `d${i}`, 2);
        const routedTimes = await sendStream(http, routed, `r${i}`, 2);
        if (i < WARM_UP_COUNT) continue;
        times.direct.push(directTimes.firstTokenMs);
        times.routed.push(routedTimes.firstTokenMs);
    }
    return times;
}

async function measureLoadedTime(http: NodeHttp, target: StreamTarget, name: string): Promise<number> {
    const startedAt = performance.now();
    const streams = Array.from(
        { length: LOAD_STREAM_COUNT },
        (_, i) => sendStream(http, target, `${name}${i}`, TOKENS_PER_LOAD_STREAM),
    );
    await Promise.all(streams);
    return performance.now() - startedAt;
}

/** Measures the resident memory that each open stream adds to the entry process, in kilobytes. */
async function measureKbPerOpenStream(http: NodeHttp, target: StreamTarget, pid: number): Promise<number> {
    const rssBeforeKb = await readRssKb(pid);
    const completions: Promise<unknown>[] = [];
    const firstTokens = Array.from({ length: OPEN_STREAM_COUNT }, (_, i) =>
        new Promise<void>(resolve => {
            completions.push(sendStream(http, target, `open${i}`, TOKENS_PER_OPEN_STREAM, resolve));
        }));
    await Promise.all(firstTokens);
    const rssDuringKb = await readRssKb(pid);
    await Promise.all(completions);
    return (rssDuringKb - rssBeforeKb) / OPEN_STREAM_COUNT;
}

async function runBenchmark(fleet: ProcessFleet): Promise<Record<string, number>> {
    const http = new NodeHttp();
    const random = new SystemRandom();
    const api = new OperatorApi({ http, clock: new SystemClock(), controlAddresses: fleet.operatorAddresses });
    const keys = await deployTrace(api, random, TRACE_HEADER);
    const engine = parseAddress(fleet.upstreamAddresses[0])!;
    const paths: MeasuredPaths = {
        direct: { address: engine, key: undefined, model: MODEL },
        routed: { address: fleet.callerAddresses[0], key: keys.get("bench"), model: MODEL },
    };
    const pid = fleet.entries[0].pid;
    const firstTokenTimes = await measureFirstTokenTimes(http, paths);
    const directMs = await measureLoadedTime(http, paths.direct, "warm-d").then(() =>
        measureLoadedTime(http, paths.direct, "ld")
    );
    await measureLoadedTime(http, paths.routed, "warm-r");
    const cpuBeforeMs = await readCpuMs(pid);
    const routedMs = await measureLoadedTime(http, paths.routed, "lr");
    const cpuMs = await readCpuMs(pid) - cpuBeforeMs;
    const tokens = LOAD_STREAM_COUNT * TOKENS_PER_LOAD_STREAM;
    const streamKb = await measureKbPerOpenStream(http, paths.routed, pid);
    const cpuMsPerThousandTokens = cpuMs / (tokens / 1_000);
    return {
        directFirstTokenP50Ms: percentile(firstTokenTimes.direct, 0.5),
        routedFirstTokenP50Ms: percentile(firstTokenTimes.routed, 0.5),
        addedP50Ms: percentile(firstTokenTimes.routed, 0.5) - percentile(firstTokenTimes.direct, 0.5),
        addedP99Ms: percentile(firstTokenTimes.routed, 0.99) - percentile(firstTokenTimes.direct, 0.99),
        directTokensPerSecond: tokens / directMs * 1_000,
        routedTokensPerSecond: tokens / routedMs * 1_000,
        cpuMsPerThousandTokens: cpuMsPerThousandTokens,
        coreShareAtTarget: cpuMsPerThousandTokens * 5 / 1_000,
        kilobytesPerOpenStream: streamKb,
        firstTokenRatio: percentile(firstTokenTimes.routed, 0.5) / percentile(firstTokenTimes.direct, 0.5),
        loadedTimeRatio: routedMs / directMs,
    };
}

async function main(): Promise<number> {
    const cli = cac("bench:entry");
    cli.option("--check", "End with 1 when a ratio is beyond its bound");
    cli.help();
    const { options } = cli.parse();
    if (options.help) return 0;
    const fleet = await ProcessFleet.start({
        ...DEFAULT_PLAN,
        entries: 1,
        zones: ["keflavik"],
        logLevel: "warn",
        emulator: [
            ...["--engines", "1", "--services", "0", "--pool", MODEL, "--slots", "256"],
            ...["--step-ms", "1", "--step-ms-per-request", "0", "--prefill-ms-per-token", "0"],
        ],
    });
    try {
        const figures = await runBenchmark(fleet);
        for (const [name, value] of Object.entries(figures)) console.log(`${name.padEnd(26)}${value.toFixed(3)}`);
        const exceeded = Object.entries(MAX_RATIOS).filter(([name, bound]) => figures[name] > bound);
        for (const [name, bound] of exceeded) {
            console.log(`BEYOND ITS BOUND: ${name} ${figures[name].toFixed(2)} > ${bound}`);
        }
        return options.check && exceeded.length > 0 ? 1 : 0;
    }
    finally {
        await fleet.close();
    }
}

main().then(
    code => process.exit(code),
    (err: unknown) => {
        console.error(`bench:entry: ${(err as Error).message}`);
        process.exit(1);
    },
);
