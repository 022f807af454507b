/**
 * The program behind `npm run bench:entry`: what one entry process adds to the direct path to the same engines, in one run.
 * First token at low load, tokens a second and processor time under load, memory of open streams. With `--check`, ends with
 * 1 when a ratio is beyond its bound.
 */
import { cac } from "cac";
import { readFile } from "node:fs/promises";
import { OperatorApi } from "../../cli/index.js";
import { TraceHeader } from "../../load/index.js";
import { NodeHttp, parseAddress, SystemClock, SystemRandom } from "../../ports/index.js";
import { deployTrace } from "../deployTrace/index.js";
import { DEFAULT_PLAN, ProcessFleet } from "../fleet/index.js";
import { sendStream, StreamTarget } from "../streamClient/index.js";

/** What the figures must keep to. Ratios, since times depend on the machine and on what else runs on it. */
const BOUNDS = {
    /** First token over the entry, as a multiple of the direct path's, both at the median. */
    firstTokenRatio: 6,
    /** Whole streams under load over the entry, as a multiple of the direct path's time. */
    loadedTimeRatio: 2,
} as const;

const MODEL = "draft";
const WARM_UP = 200;
const SAMPLES = 600;
const LOAD_STREAMS = 64;
const LOAD_TOKENS = 400;
const OPEN_STREAMS = 200;
const OPEN_TOKENS = 4_000;
const MS_PER_TICK = 10;

const HEADER = {
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

interface Paths {
    readonly direct: StreamTarget;
    readonly routed: StreamTarget;
}

function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
}

/** Processor time of a process since its start, in milliseconds. */
async function readCpuMs(pid: number): Promise<number> {
    const fields = (await readFile(`/proc/${pid}/stat`, "utf8")).split(") ")[1].split(" ");
    const USER_FIELD = 11;
    const SYSTEM_FIELD = 12;
    return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) * MS_PER_TICK;
}

/** Resident memory of a process, in kilobytes. */
async function readRssKb(pid: number): Promise<number> {
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)![1]);
}

/** The two paths in turn, so that whatever else runs on the machine weighs on both alike. */
async function measureFirstToken(http: NodeHttp, { direct, routed }: Paths) {
    const times = { direct: [] as number[], routed: [] as number[] };
    for (let i = 0; i < WARM_UP + SAMPLES; i++) {
        const onDirect = await sendStream(http, direct, `d${i}`, 2);
        const onRouted = await sendStream(http, routed, `r${i}`, 2);
        if (i < WARM_UP) continue;
        times.direct.push(onDirect.firstTokenMs);
        times.routed.push(onRouted.firstTokenMs);
    }
    return times;
}

async function measureLoad(http: NodeHttp, target: StreamTarget, name: string): Promise<number> {
    const startedAt = performance.now();
    const streams = Array.from(
        { length: LOAD_STREAMS },
        (_, i) => sendStream(http, target, `${name}${i}`, LOAD_TOKENS),
    );
    await Promise.all(streams);
    return performance.now() - startedAt;
}

/** Memory that each open stream adds to the entry. */
async function measureOpenStreams(http: NodeHttp, target: StreamTarget, pid: number): Promise<number> {
    const before = await readRssKb(pid);
    const whole: Promise<unknown>[] = [];
    const open = Array.from({ length: OPEN_STREAMS }, (_, i) =>
        new Promise<void>(resolve => {
            whole.push(sendStream(http, target, `open${i}`, OPEN_TOKENS, resolve));
        }));
    await Promise.all(open);
    const during = await readRssKb(pid);
    await Promise.all(whole);
    return (during - before) / OPEN_STREAMS;
}

async function measure(fleet: ProcessFleet): Promise<Record<string, number>> {
    const http = new NodeHttp();
    const random = new SystemRandom();
    const api = new OperatorApi({ http, clock: new SystemClock(), control: fleet.operatorAddresses });
    const keys = await deployTrace(api, random, HEADER);
    const engine = parseAddress(fleet.upstreamAddresses[0])!;
    const paths: Paths = {
        direct: { address: engine, key: undefined, model: MODEL },
        routed: { address: fleet.callerAddresses[0], key: keys.get("bench"), model: MODEL },
    };
    const pid = fleet.entries[0].pid;
    const first = await measureFirstToken(http, paths);
    const directMs = await measureLoad(http, paths.direct, "warm-d").then(() => measureLoad(http, paths.direct, "ld"));
    await measureLoad(http, paths.routed, "warm-r");
    const cpuBefore = await readCpuMs(pid);
    const routedMs = await measureLoad(http, paths.routed, "lr");
    const cpuMs = await readCpuMs(pid) - cpuBefore;
    const tokens = LOAD_STREAMS * LOAD_TOKENS;
    const streamKb = await measureOpenStreams(http, paths.routed, pid);
    const cpuPerThousandTokens = cpuMs / (tokens / 1_000);
    return {
        directFirstTokenP50Ms: percentile(first.direct, 0.5),
        routedFirstTokenP50Ms: percentile(first.routed, 0.5),
        addedP50Ms: percentile(first.routed, 0.5) - percentile(first.direct, 0.5),
        addedP99Ms: percentile(first.routed, 0.99) - percentile(first.direct, 0.99),
        directTokensPerSecond: tokens / directMs * 1_000,
        routedTokensPerSecond: tokens / routedMs * 1_000,
        cpuMsPerThousandTokens: cpuPerThousandTokens,
        coreShareAtTarget: cpuPerThousandTokens * 5 / 1_000,
        kilobytesPerOpenStream: streamKb,
        firstTokenRatio: percentile(first.routed, 0.5) / percentile(first.direct, 0.5),
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
        const figures = await measure(fleet);
        for (const [name, value] of Object.entries(figures)) console.log(`${name.padEnd(26)}${value.toFixed(3)}`);
        const missed = Object.entries(BOUNDS).filter(([name, bound]) => figures[name] > bound);
        for (const [name, bound] of missed) {
            console.log(`BEYOND ITS BOUND: ${name} ${figures[name].toFixed(2)} > ${bound}`);
        }
        return options.check && missed.length > 0 ? 1 : 0;
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
