/**
 * The program behind `npm run demo`: starts a complete fleet as processes on loopback, replays a trace against it, and prints
 * tables of the results by class and by workspace and one line of JSON. Exits with 1 when a request was lost or doubled.
 */
import { cac } from "cac";
import { readFile } from "node:fs/promises";
import { OperatorApi } from "../../cli/index.js";
import {
    crossCheck,
    DEFAULT_CALLER,
    EmulatorClient,
    formatReport,
    parseTrace,
    Progress,
    replayTrace,
    summarizeReplay,
    Trace,
} from "../../load/index.js";
import { NodeHttp, SystemClock, SystemRandom } from "../../ports/index.js";
import { deployTrace } from "../deployTrace/index.js";
import { DEFAULT_PLAN, ProcessFleet } from "../fleet/index.js";
import { waitFor } from "../processes/index.js";

const USAGE_REPORT_TIMEOUT_MS = 20_000;

interface Flags {
    readonly trace: string;
    readonly entries: number;
    readonly speed: number;
    readonly help?: boolean;
}

function parseFlags(): Flags {
    const cli = cac("demo");
    cli.option("--trace <file>", "The trace to replay", { default: "traces/utility-morning.jsonl" });
    cli.option("--entries <count>", "How many entry processes", { default: 7 });
    cli.option("--speed <factor>", "How much faster than recorded", { default: 1 });
    cli.help();
    return cli.parse().options as Flags;
}

async function readTrace(path: string): Promise<Trace> {
    const parsed = parseTrace(await readFile(path, "utf8"));
    return parsed.caseOf({
        Left: err => {
            throw new Error(`${path}: ${err.message}`);
        },
        Right: trace => trace,
    });
}

function formatEmulatorFlags(trace: Trace): string[] {
    return Object.entries(trace.header.emulator)
        .filter(([name]) => name !== "zones")
        .flatMap((
            [name, value],
        ) => [`--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`, String(value)]);
}

async function main(): Promise<number> {
    const flags = parseFlags();
    if (flags.help) return 0;
    const trace = await readTrace(flags.trace);
    console.log(`starting 3 control processes, ${flags.entries} entries and the emulator on loopback`);
    const fleet = await ProcessFleet.start({
        ...DEFAULT_PLAN,
        entries: flags.entries,
        zones: trace.header.zones,
        emulator: formatEmulatorFlags(trace),
    });
    try {
        return await replayOnFleet(fleet, trace, flags.speed);
    }
    finally {
        await fleet.close();
    }
}

async function replayOnFleet(fleet: ProcessFleet, trace: Trace, speed: number): Promise<number> {
    const ports = { clock: new SystemClock(), random: new SystemRandom(), http: new NodeHttp() };
    const api = new OperatorApi({ ...ports, controlAddresses: fleet.operatorAddresses });
    const keys = await deployTrace(api, ports.random, trace.header);
    const emulator = new EmulatorClient(ports.http, fleet.emulatorAddress);
    const progress = new Progress(ports.clock, trace.requests.length, line => process.stderr.write(line));
    const startedAt = ports.clock.monotonic();
    const addresses = fleet.callerAddresses;
    const results = await replayTrace(
        ports,
        trace,
        { ...DEFAULT_CALLER, addresses, keys, speed, applyFault: action => emulator.apply(action) },
        result => progress.record(result),
    );
    progress.end();
    const report = summarizeReplay(trace, results, ports.clock.monotonic() - startedAt);
    const check = crossCheck(trace, results, await emulator.fetchRuns());
    const usage = await waitForUsageReports(fleet, results.filter(({ verdict }) => verdict === "answered").length);
    console.log(formatReport(report, check));
    const { sent, answered, refused, lost, doubled } = report;
    const doubledCalls = doubled + check.doubledCalls.length;
    const { windows: windowsReported, requests: requestsBilled, doubledWindows, conflicting } = usage;
    console.log(JSON.stringify({
        sent,
        answered,
        refused,
        lost,
        doubled: doubledCalls,
        windowsReported,
        requestsBilled,
        windowsDoubled: doubledWindows + conflicting,
        untruthful: check.untruthful.length,
    }));
    return lost > 0 || doubledCalls > 0 ? 1 : 0;
}

interface UsageCounts {
    readonly windows: number;
    readonly requests: number;
    readonly doubledWindows: number;
    readonly conflicting: number;
}

/** Waits until the usage of each answered request has been reported to the platform, at most for the limit. */
async function waitForUsageReports(fleet: ProcessFleet, answered: number): Promise<UsageCounts> {
    const fetchUsage = async (): Promise<UsageCounts> => {
        const stats = await fleet.emulatorStats() as { platform: { usage: UsageCounts; }; };
        return stats.platform.usage;
    };
    const completeUsage = await waitFor(async () => {
        const usage = await fetchUsage();
        return usage.requests >= answered ? usage : undefined;
    }, USAGE_REPORT_TIMEOUT_MS);
    return completeUsage ?? await fetchUsage();
}

main().then(
    code => process.exit(code),
    (err: unknown) => {
        console.error(`demo: ${(err as Error).message}`);
        process.exit(1);
    },
);
