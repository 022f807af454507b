/** The program `load`: generates traces, replays them against the system's caller addresses, and measures engines. */
import { cac } from "cac";
import { basename, dirname } from "node:path";
import * as z from "zod";
import {
    Address,
    Disk,
    FileDisk,
    NodeHttp,
    parseAddress,
    SeededRandom,
    SystemClock,
    SystemRandom,
} from "../ports/index.js";
import {
    CONSORTIUM_FAULTS,
    CONSORTIUM_MIDDAY,
    crossCheck,
    DEFAULT_CALLER,
    EmulatorClient,
    formatReport,
    formatTrace,
    generateTrace,
    measureEngines,
    parseTrace,
    replayTrace,
    summarizeReplay,
    Trace,
    TracePlan,
    UTILITY_MORNING,
    UTILITY_RECLAIM,
} from "./index.js";
import { Progress } from "./progress/index.js";

const EXIT_MISSED = 1;
const EXIT_USAGE = 2;
const DEFAULT_SEED = 20_261_202;
const PLANS: readonly TracePlan[] = [UTILITY_MORNING, UTILITY_RECLAIM, CONSORTIUM_MIDDAY, CONSORTIUM_FAULTS];

const replayFlagsSchema = z.object({
    addresses: z.string(),
    keys: z.string(),
    speed: z.coerce.number().positive().default(1),
    timeoutMs: z.coerce.number().positive().default(DEFAULT_CALLER.timeoutMs),
    retries: z.coerce.number().int().min(0).default(DEFAULT_CALLER.retries),
    resendChats: z.boolean().default(false),
    json: z.boolean().default(false),
    bounds: z.boolean().default(false),
    quiet: z.boolean().default(false),
    emulator: z.string().optional(),
});
const measureFlagsSchema = z.object({
    engines: z.string(),
    model: z.string().default("draft"),
    concurrency: z.coerce.string().default("1,2,4,8,16,32").transform(text => text.split(",").map(Number)),
    rounds: z.coerce.number().int().positive().default(3),
    tokens: z.coerce.number().int().positive().default(200),
    promptCharacters: z.coerce.number().int().positive().default(1_000),
});
const keysSchema = z.record(z.string(), z.string());

/** A file path split into its folder, opened as a disk, and the file's name in it. */
interface FileLocation {
    readonly disk: Disk;
    readonly name: string;
}

/** An invalid command line or input file; its message is the one line printed to the user. */
class UsageError extends Error {}

function locateFile(path: string): FileLocation {
    return { disk: new FileDisk(dirname(path)), name: basename(path) };
}

async function readFile(path: string): Promise<string> {
    const { disk, name } = locateFile(path);
    const bytes = await disk.read(name);
    if (!bytes) throw new UsageError(`${path}: no such file`);
    return Buffer.from(bytes).toString();
}

async function readTrace(path: string): Promise<Trace> {
    return parseTrace(await readFile(path)).caseOf({
        Left: err => {
            throw new UsageError(`${path}: ${err.message}`);
        },
        Right: trace => trace,
    });
}

async function readKeys(path: string): Promise<Map<string, string>> {
    const parsed = keysSchema.safeParse(JSON.parse(await readFile(path)));
    if (!parsed.success) throw new UsageError(`${path}: expected {"workspace": "key", ...}`);
    return new Map(Object.entries(parsed.data));
}

function readAddresses(text: string): Address[] {
    return text.split(",").map(item => {
        const address = parseAddress(item.trim());
        if (!address) throw new UsageError(`--addresses: "${item}" is not IP:port`);
        return address;
    });
}

async function replay(path: string, flags: unknown): Promise<void> {
    const parsed = replayFlagsSchema.safeParse(flags);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        throw new UsageError(`--${issue.path.join(".")}: ${issue.message}`);
    }
    const options = parsed.data;
    const trace = await readTrace(path);
    const ports = { clock: new SystemClock(), random: new SystemRandom(), http: new NodeHttp() };
    const progress = new Progress(ports.clock, trace.requests.length, line => {
        if (!options.quiet) process.stderr.write(line);
    });
    const emulator = options.emulator === undefined
        ? undefined
        : new EmulatorClient(ports.http, readAddresses(options.emulator)[0]);
    const startedAt = ports.clock.monotonic();
    const results = await replayTrace(ports, trace, {
        ...DEFAULT_CALLER,
        addresses: readAddresses(options.addresses),
        keys: await readKeys(options.keys),
        speed: options.speed,
        timeoutMs: options.timeoutMs,
        retries: options.retries,
        chatResends: options.resendChats ? "always" : DEFAULT_CALLER.chatResends,
        applyFault: emulator && (action => emulator.apply(action)),
    }, result => progress.record(result));
    progress.end();
    const report = summarizeReplay(trace, results, ports.clock.monotonic() - startedAt);
    const check = emulator && crossCheck(trace, results, await emulator.fetchRuns());
    console.log(options.json ? JSON.stringify({ ...report, check, results }) : formatReport(report, check));
    const hasViolation = report.lost > 0 || report.doubled > 0
        || (check !== undefined && check.untruthful.length + check.doubledCalls.length > 0);
    process.exit(hasViolation || (options.bounds && report.missed.length > 0) ? EXIT_MISSED : 0);
}

async function measure(flags: unknown): Promise<void> {
    const options = measureFlagsSchema.parse(flags);
    const http = new NodeHttp();
    const engines = readAddresses(options.engines);
    for (const concurrency of options.concurrency) {
        const measurement = await measureEngines(http, new SystemClock(), {
            engines,
            model: options.model,
            concurrency,
            rounds: options.rounds,
            tokens: options.tokens,
            promptCharacters: options.promptCharacters,
        });
        console.log(JSON.stringify({ concurrency, ...measurement }));
    }
    process.exit(0);
}

async function record(planName: string, path: string, flags: { readonly seed?: number; }): Promise<void> {
    const plan = PLANS.find(({ name }) => name === planName);
    if (!plan) throw new UsageError(`no plan ${planName}; there are ${PLANS.map(({ name }) => name).join(", ")}`);
    const trace = generateTrace(plan, new SeededRandom(flags.seed ?? DEFAULT_SEED));
    const { disk, name } = locateFile(path);
    await disk.replace(name, Buffer.from(formatTrace(trace)));
}

async function main(): Promise<void> {
    const cli = cac("load");
    cli.command("replay <trace>", "Replay a trace; exit 1 when a request was lost or doubled")
        .option("--addresses <list>", "Where the system takes requests: IP:port, with commas between")
        .option("--keys <file>", "JSON file with each workspace's key")
        .option("--speed <factor>", "Divide the trace's times by this (default: 1)")
        .option("--timeout-ms <ms>", "How long a caller waits for a whole answer")
        .option("--retries <count>", "How often a refused request comes back")
        .option("--resend-chats", "Callers send a chat again also when it broke after its first token")
        .option("--bounds", "Exit 1 also when one of the trace's bounds is missed")
        .option(
            "--emulator <address>",
            "The emulator's control port: brings about the trace's faults, and tells what ran",
        )
        .option("--json", "Print one line of JSON in place of tables")
        .option("--quiet", "No progress line")
        .example("load replay traces/utility-morning.jsonl --addresses 127.0.0.1:8080 --keys keys.json --bounds")
        .action(replay);
    cli.command("record <plan> <trace>", `Make a trace: ${PLANS.map(({ name }) => name).join(" or ")}`)
        .option("--seed <number>", "Another seed gives another trace of the same kind")
        .example("load record utility-morning traces/utility-morning.jsonl")
        .action(record);
    cli.command("measure", "Load engines on the direct path, without the system between")
        .option("--engines <list>", "The engines' addresses: IP:port, with commas between")
        .option("--model <name>", "The model to ask for (default: draft)")
        .option("--concurrency <list>", "Requests at a time, one line for each number (default: 1,2,4,8,16,32)")
        .option("--rounds <count>", "How many requests follow each other in each place (default: 3)")
        .option("--tokens <count>", "Length of each answer (default: 200)")
        .option("--prompt-characters <count>", "Length of each prompt (default: 1000)")
        .example("load measure --engines 127.0.0.1:9001 --concurrency 1,16")
        .action(measure);
    cli.help();
    cli.parse(process.argv, { run: false });
    if (!cli.matchedCommand && !cli.options.help) throw new UsageError("say replay or record; --help tells more");
    await cli.runMatchedCommand();
}

main().catch((err: unknown) => {
    console.error(`load: ${(err as Error).message}`);
    process.exit(EXIT_USAGE);
});
