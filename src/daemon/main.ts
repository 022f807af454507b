/** The program `sequoiamuxd`, which runs one process of the role given in its settings. */
import { cac } from "cac";
import { Incarnation } from "../ids/index.js";
import { JsonLogger, Logger } from "../logging/index.js";
import { StatsdMetrics } from "../metrics/index.js";
import {
    CallerBudget,
    deriveBudgetLimits,
    DiskError,
    NodeHttp,
    SystemClock,
    SystemRandom,
    TcpNetwork,
} from "../ports/index.js";
import { Settings } from "../settings/index.js";
import { StoreError } from "../store/index.js";
import { DaemonPorts, DaemonProcess } from "./daemonPorts/index.js";
import { EXIT_CODES } from "./exitCodes/index.js";
import { readSettings } from "./readSettings/index.js";
import { runControl } from "./runControl/index.js";
import { runEntry } from "./runEntry/index.js";
import { StopSignals } from "./stopSignals/index.js";

/** Maximum time for closing a drained process, in milliseconds. */
const CLOSE_LIMIT_MS = 2_000;

interface CommandLineFlags {
    readonly settings?: string;
    readonly check?: boolean;
    readonly help?: boolean;
}

function parseCommandLine(): CommandLineFlags {
    const cli = cac("sequoiamuxd");
    cli.option("--settings <file>", "INI file with this process's settings");
    cli.option("--check", "Judge the settings file and end");
    cli.example("sequoiamuxd --settings /etc/sequoiamux/entry.ini");
    cli.example("sequoiamuxd --check --settings /etc/sequoiamux/control.ini");
    cli.help();
    return cli.parse().options as CommandLineFlags;
}

function makePorts(settings: Settings): DaemonPorts {
    const { host, role, limits, log, metrics } = settings;
    const clock = new SystemClock();
    const budget = new CallerBudget(deriveBudgetLimits(limits.memoryMb), () => clock.monotonic());
    const random = new SystemRandom();
    const logger = new JsonLogger({ host: host.id, role, level: log.level, clock });
    const statsdMetrics = new StatsdMetrics({
        address: metrics.statsd,
        prefix: metrics.prefix,
        maxSeries: metrics.series,
        tags: { host: host.id, role },
        onError: err => logger.warn("metrics-unsent", { problem: err.message }),
    });
    return {
        clock,
        random,
        network: new TcpNetwork(),
        http: new NodeHttp(budget),
        logger,
        metrics: statsdMetrics,
        flushMetrics: () => statsdMetrics.close(),
        histograms: { list: () => statsdMetrics.listHistograms() },
        requestStop: () => void process.kill(process.pid, "SIGTERM"),
        self: { host: host.id, incarnation: random.id() as Incarnation },
    };
}

function startDaemon(ports: DaemonPorts, settings: Settings): Promise<DaemonProcess> {
    return settings.role === "entry" ? runEntry(ports, settings) : runControl(ports, settings);
}

/** Drains the daemon, closes it and ends the process. */
async function drainAndExit(daemon: DaemonProcess, { clock, logger, flushMetrics }: DaemonPorts): Promise<never> {
    const isClean = await daemon.drain();
    // A connection that never ends would hold up the exit.
    await Promise.race([daemon.lifecycle.close(), clock.sleep(CLOSE_LIMIT_MS)]);
    await flushMetrics();
    logger.info("stopped", { whole: isClean });
    process.exit(isClean ? EXIT_CODES.ok : EXIT_CODES.incomplete);
}

function exitNow(reason: "forced" | "not-started"): never {
    process.exit(reason === "forced" ? EXIT_CODES.incomplete : EXIT_CODES.ok);
}

/**
 * Exits after the failure of a part that the process can't work without. A process that kept running would not show its
 * supervisor that it has failed.
 */
function exitOnFailure(err: Error, logger: Logger): never {
    logger.error("process-failed", { problem: err.message });
    exitWithErrors([err.message], isDataFolderError(err) ? EXIT_CODES.dataFolder : EXIT_CODES.failure);
}

/** Prints one line per problem and exits; the code tells the supervisor whether a restart can help. */
function exitWithErrors(lines: readonly string[], code: number): never {
    for (const line of lines) console.error(`sequoiamuxd: ${line}`);
    process.exit(code);
}

async function main(): Promise<void> {
    const flags = parseCommandLine();
    if (flags.help) return;
    const signals = new StopSignals({ source: process, clock: new SystemClock(), exitNow });
    if (typeof flags.settings !== "string") exitWithErrors(["--settings FILE is missing"], EXIT_CODES.usage);
    const result = await readSettings(flags.settings);
    if (result.isLeft()) exitWithErrors(result.extract() as readonly string[], EXIT_CODES.usage);
    const settings = result.unsafeCoerce();
    if (flags.check) {
        console.log(`${flags.settings}: good, role ${settings.role}`);
        return;
    }
    const ports = makePorts(settings);
    ports.logger.info("starting", { pid: process.pid });
    const daemon = await startDaemon(ports, settings);
    signals.begin({ logger: ports.logger, stop: () => drainAndExit(daemon, ports) });
    void daemon.failed?.then(err => exitOnFailure(err, ports.logger));
    console.log(JSON.stringify({ event: "ready", role: settings.role, host: settings.host.id }));
}

/**
 * Whether an error concerns the data folder, so that a restart can't help until an operator has inspected it. The store wraps
 * disk errors in an error of its own, so both types count.
 */
function isDataFolderError(err: unknown): boolean {
    return err instanceof DiskError || err instanceof StoreError;
}

main().catch((err: unknown) => {
    exitWithErrors([(err as Error).message], isDataFolderError(err) ? EXIT_CODES.dataFolder : EXIT_CODES.failure);
});
