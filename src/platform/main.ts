/** The program that the platform starts on each machine: one process of the role that its first word names. */
import { DaemonPorts, DaemonProcess } from "../daemon/index.js";
import { Incarnation } from "../ids/index.js";
import { BoundedOutput, JsonLogger, Logger } from "../logging/index.js";
import { PromMetrics } from "../metrics/index.js";
import {
    DEFAULT_HTTP_LIMITS,
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

const SETTINGS_VARIABLE = "SEQUOIAMUX_NODE_FILE";
/** Where the figures are fetched, on each machine; deploy/system.toml names the same. */
const METRICS_PORT = 9_464;
/** How often the settings file is looked at, in milliseconds: it may change without a signal. */
const SETTINGS_EVERY_MS = 3_000;
const EXIT_FAULT = 1;
const EXIT_USAGE = 2;

/** A process of either role. */
interface RunningNode extends DaemonProcess {
    readonly reload: (settings: NodeSettings) => void;
}

async function main(): Promise<void> {
    const [role] = process.argv.slice(2);
    if (role !== "entry" && role !== "control") fail(["usage: sequoiamux entry|control"]);
    const settings = await loadSettings();
    const clock = new SystemClock();
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
    process.on("unhandledRejection", err => endFailed(err, logger));
    process.on("uncaughtException", err => endFailed(err, logger));
    logger.info("starting", { incarnation: ports.self.incarnation, firstStart: settings.isFirstStart });
    const node: RunningNode = role === "entry"
        ? await runEntryNode(ports, settings)
        : await runControlNode(ports, settings);
    await serveMetrics(ports, settings, metrics);
    watchSettings(node, logger, clock);
    stopOnSignal(node, logger);
    void node.failed?.then(err => endFailed(err, logger));
    logger.info("started", { seeds: settings.seeds.map(({ host }) => host).join(" ") });
}

function makePorts(settings: NodeSettings, clock: SystemClock, logger: Logger, metrics: PromMetrics): DaemonPorts {
    const random = new SystemRandom();
    return {
        clock,
        random,
        logger,
        metrics,
        network: new TcpNetwork(),
        http: new NodeHttp(),
        closeFigures: async () => undefined,
        histograms: { list: () => [] },
        requestStop: () => void process.kill(process.pid, "SIGTERM"),
        self: { host: settings.host, incarnation: random.id() as Incarnation },
    };
}

/** Settings that a process can't run by. */
class SettingsError extends Error {
    /** @param problems - One line each. */
    constructor(readonly problems: readonly string[]) {
        super(problems.join("; "));
    }
}

async function loadSettings(): Promise<NodeSettings> {
    const path = process.env[SETTINGS_VARIABLE];
    if (path === undefined) throw new SettingsError([`${SETTINGS_VARIABLE} is not set`]);
    const bytes = await new FileDisk("/").read(path);
    if (!bytes) throw new SettingsError([`${path}: there is no such file`]);
    const read = readNodeSettings(parseNodeFile(Buffer.from(bytes).toString()));
    return read.caseOf({
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

/** Takes over other seeds; a file that can't be read changes nothing. */
function watchSettings(node: RunningNode, logger: Logger, clock: SystemClock): void {
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
    const look = (): void => {
        void reload("look");
        clock.after(SETTINGS_EVERY_MS, look);
    };
    clock.after(SETTINGS_EVERY_MS, look);
    process.on("SIGHUP", () => void reload("signal"));
}

/** Ends in good order on the first signal, at once on the second. */
function stopOnSignal(node: RunningNode, logger: Logger): void {
    let isStopping = false;
    const stop = async (): Promise<void> => {
        if (isStopping) process.exit(EXIT_FAULT);
        isStopping = true;
        logger.info("stopping");
        const whole = await node.drain();
        logger.info("stopped", { whole });
        process.exit(0);
    };
    process.on("SIGTERM", () => void stop());
    process.on("SIGINT", () => void stop());
}

function endFailed(err: unknown, logger: Logger): void {
    logger.error("process-failed", { problem: String((err as Error).stack ?? err) });
    process.exit(EXIT_FAULT);
}

function fail(lines: readonly string[]): never {
    for (const line of lines) console.error(`sequoiamux: ${line}`);
    process.exit(EXIT_USAGE);
}

main().catch((err: unknown) => {
    if (err instanceof SettingsError) fail(err.problems);
    console.error(`sequoiamux: ${String((err as Error).stack ?? err)}`);
    process.exit(EXIT_FAULT);
});
