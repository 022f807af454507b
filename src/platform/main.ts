/** The program that the platform starts on each machine. The first command-line argument selects the role of the process. */
import { DaemonPorts, DaemonProcess, StopSignals } from "../daemon/index.js";
import { Incarnation } from "../ids/index.js";
import { BoundedOutput, JsonLogger, Logger } from "../logging/index.js";
import { PromMetrics } from "../metrics/index.js";
import {
    CallerBudget,
    DEFAULT_HTTP_LIMITS,
    deriveBudgetLimits,
    FileDisk,
    NodeHttp,
    SystemClock,
    SystemRandom,
    TcpNetwork,
    writeToStandardOutput,
} from "../ports/index.js";
import { parseNodeFile } from "./nodeFile/index.js";
import { NodeSettings, readNodeSettings } from "./nodeSettings/index.js";
import { runControlNode } from "./runControlNode/index.js";
import { runEntryNode } from "./runEntryNode/index.js";

const SETTINGS_FILE_VARIABLE = "SEQUOIAMUX_NODE_FILE";
/** Port on which each machine serves its metrics; `deploy/system.toml` names the same port. */
const METRICS_PORT = 9_464;
/** Interval at which the settings file is reread; the file may change without a signal. */
const SETTINGS_POLL_INTERVAL_MS = 3_000;
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/** A running process of either role. */
interface RunningNode extends DaemonProcess {
    readonly reload: (settings: NodeSettings) => void;
}

async function main(): Promise<void> {
    const [role] = process.argv.slice(2);
    if (role !== "entry" && role !== "control") exitWithUsageError(["usage: sequoiamux entry|control"]);
    const clock = new SystemClock();
    const signals = new StopSignals({ source: process, clock, exitNow });
    const settings = await loadSettings();
    const output = new BoundedOutput(writeToStandardOutput, (ms, callback) => void clock.after(ms, callback));
    const logger = new JsonLogger({
        clock,
        role,
        host: settings.host,
        level: "info",
        write: line => output.write(line),
    });
    const metrics = new PromMetrics();
    const ports = makePorts(settings, clock, logger, metrics);
    process.on("unhandledRejection", err => exitOnFailure(err, logger));
    process.on("uncaughtException", err => exitOnFailure(err, logger));
    logger.info("starting", { incarnation: ports.self.incarnation, firstStart: settings.isFirstStart });
    const node: RunningNode = role === "entry"
        ? await runEntryNode(ports, settings)
        : await runControlNode(ports, settings);
    await serveMetrics(ports, settings, metrics);
    const reload = watchSettings(node, logger, clock);
    signals.begin({ logger, stop: () => drainAndExit(node, logger), reload });
    void node.failed?.then(err => exitOnFailure(err, logger));
    logger.info("started", { seeds: settings.seeds.map(({ host }) => host).join(" ") });
}

function makePorts(settings: NodeSettings, clock: SystemClock, logger: Logger, metrics: PromMetrics): DaemonPorts {
    const random = new SystemRandom();
    const budget = new CallerBudget(deriveBudgetLimits(settings.memoryMb), () => clock.monotonic());
    return {
        clock,
        random,
        logger,
        metrics,
        network: new TcpNetwork(),
        http: new NodeHttp(budget),
        flushMetrics: async () => undefined,
        histograms: { list: () => [] },
        requestStop: () => void process.kill(process.pid, "SIGTERM"),
        self: { host: settings.host, incarnation: random.id() as Incarnation },
    };
}

/** Thrown when the settings are missing or invalid. */
class SettingsError extends Error {
    /** @param problems - One line per problem. */
    constructor(readonly problems: readonly string[]) {
        super(problems.join("; "));
    }
}

async function loadSettings(): Promise<NodeSettings> {
    const path = process.env[SETTINGS_FILE_VARIABLE];
    if (path === undefined) throw new SettingsError([`${SETTINGS_FILE_VARIABLE} is not set`]);
    const bytes = await new FileDisk("/").read(path);
    if (!bytes) throw new SettingsError([`${path}: there is no such file`]);
    const result = readNodeSettings(parseNodeFile(Buffer.from(bytes).toString()));
    return result.caseOf({
        Left: problems => {
            throw new SettingsError(problems);
        },
        Right: settings => settings,
    });
}

async function serveMetrics({ http }: DaemonPorts, { ip }: NodeSettings, metrics: PromMetrics): Promise<void> {
    await http.serve({ host: ip, port: METRICS_PORT }, DEFAULT_HTTP_LIMITS, async (_, res) => {
        res.head(200, [["content-type", metrics.contentType]]);
        res.end(await metrics.render());
    });
}

/**
 * Reloads the settings file at an interval, and applies changed seeds. When the file can't be read, the settings in use stay.
 *
 * @returns Reloads it at once.
 */
function watchSettings(node: RunningNode, logger: Logger, clock: SystemClock): () => void {
    const reload = async (cause: string): Promise<void> => {
        try {
            const settings = await loadSettings();
            node.reload(settings);
            if (cause === "signal") logger.info("reloaded", { cause });
        }
        catch (err) {
            logger.warn("settings-unread", { cause, problem: (err as Error).message });
        }
    };
    const poll = (): void => {
        void reload("look");
        clock.after(SETTINGS_POLL_INTERVAL_MS, poll);
    };
    clock.after(SETTINGS_POLL_INTERVAL_MS, poll);
    return () => void reload("signal");
}

async function drainAndExit(node: RunningNode, logger: Logger): Promise<never> {
    logger.info("stopping");
    const isClean = await node.drain();
    logger.info("stopped", { whole: isClean });
    process.exit(0);
}

function exitNow(reason: "forced" | "not-started"): never {
    process.exit(reason === "forced" ? EXIT_FAILURE : 0);
}

function exitOnFailure(err: unknown, logger: Logger): void {
    logger.error("process-failed", { problem: String((err as Error).stack ?? err) });
    process.exit(EXIT_FAILURE);
}

function exitWithUsageError(lines: readonly string[]): never {
    for (const line of lines) console.error(`sequoiamux: ${line}`);
    process.exit(EXIT_USAGE);
}

main().catch((err: unknown) => {
    if (err instanceof SettingsError) exitWithUsageError(err.problems);
    console.error(`sequoiamux: ${String((err as Error).stack ?? err)}`);
    process.exit(EXIT_FAILURE);
});
