/** The program `sequoiamuxd`, which runs one process of the role given in its settings. */
import { cac } from "cac";
import { Incarnation } from "../ids/index.js";
import { JsonLogger, Logger } from "../logging/index.js";
import { StatsdMetrics } from "../metrics/index.js";
import { DiskError, NodeHttp, SystemClock, SystemRandom, TcpNetwork } from "../ports/index.js";
import { Settings } from "../settings/index.js";
import { StoreError } from "../store/index.js";
import { DaemonPorts, DaemonProcess } from "./daemonPorts/index.js";
import { EXIT_CODES } from "./exitCodes/index.js";
import { readSettings } from "./readSettings/index.js";
import { runControl } from "./runControl/index.js";
import { runEntry } from "./runEntry/index.js";

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
    const { host, role, log, metrics } = settings;
    const clock = new SystemClock();
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
        http: new NodeHttp(),
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

/** Drains and exits on the first SIGTERM or SIGINT; exits immediately on the second. */
function stopOnSignal(daemon: DaemonProcess, logger: Logger, flushMetrics: () => Promise<void>): void {
    let isStopping = false;
    const stop = async (): Promise<void> => {
        if (isStopping) process.exit(EXIT_CODES.incomplete);
        isStopping = true;
        const isClean = await daemon.drain();
        await daemon.lifecycle.close();
        await flushMetrics();
        logger.info("stopped", { whole: isClean });
        process.exit(isClean ? EXIT_CODES.ok : EXIT_CODES.incomplete);
    };
    process.on("SIGTERM", () => void stop());
    process.on("SIGINT", () => void stop());
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
    stopOnSignal(daemon, ports.logger, ports.flushMetrics);
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
