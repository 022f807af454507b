/** The program `sequoiamuxd`: one process of the role that its settings name. */
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

interface Flags {
    readonly settings?: string;
    readonly check?: boolean;
    readonly help?: boolean;
}

function parseFlags(): Flags {
    const cli = cac("sequoiamuxd");
    cli.option("--settings <file>", "INI file with this process's settings");
    cli.option("--check", "Judge the settings file and end");
    cli.example("sequoiamuxd --settings /etc/sequoiamux/entry.ini");
    cli.example("sequoiamuxd --check --settings /etc/sequoiamux/control.ini");
    cli.help();
    return cli.parse().options as Flags;
}

function makePorts(settings: Settings): DaemonPorts {
    const { host, role, log, metrics } = settings;
    const clock = new SystemClock();
    const random = new SystemRandom();
    const logger = new JsonLogger({ host: host.id, role, level: log.level, clock });
    const figures = new StatsdMetrics({
        address: metrics.statsd,
        prefix: metrics.prefix,
        series: metrics.series,
        tags: { host: host.id, role },
        onError: err => logger.warn("metrics-unsent", { problem: err.message }),
    });
    return {
        clock,
        random,
        network: new TcpNetwork(),
        http: new NodeHttp(),
        logger,
        metrics: figures,
        closeFigures: () => figures.close(),
        histograms: { list: () => figures.listHistograms() },
        requestStop: () => void process.kill(process.pid, "SIGTERM"),
        self: { host: host.id, incarnation: random.id() as Incarnation },
    };
}

function run(ports: DaemonPorts, settings: Settings): Promise<DaemonProcess> {
    return settings.role === "entry" ? runEntry(ports, settings) : runControl(ports, settings);
}

/** Ends in good order on the first signal, at once on the second. */
function stopOnSignal(daemon: DaemonProcess, logger: Logger, closeFigures: () => Promise<void>): void {
    let stopping = false;
    const stop = async (): Promise<void> => {
        if (stopping) process.exit(EXIT_CODES.cut);
        stopping = true;
        const whole = await daemon.drain();
        await daemon.lifecycle.close();
        await closeFigures();
        logger.info("stopped", { whole });
        process.exit(whole ? EXIT_CODES.ok : EXIT_CODES.cut);
    };
    process.on("SIGTERM", () => void stop());
    process.on("SIGINT", () => void stop());
}

/** A part that the process can't do without has ended: a supervisor must know, where a process that merely lives tells nothing. */
function endFailed(err: Error, logger: Logger): never {
    logger.error("process-failed", { problem: err.message });
    fail([err.message], isDataFault(err) ? EXIT_CODES.data : EXIT_CODES.fault);
}

/** One line for each problem, and the code that tells a supervisor whether starting again is of use. */
function fail(lines: readonly string[], code: number): never {
    for (const line of lines) console.error(`sequoiamuxd: ${line}`);
    process.exit(code);
}

async function main(): Promise<void> {
    const flags = parseFlags();
    if (flags.help) return;
    if (typeof flags.settings !== "string") fail(["--settings FILE is missing"], EXIT_CODES.usage);
    const read = await readSettings(flags.settings);
    if (read.isLeft()) fail(read.extract() as readonly string[], EXIT_CODES.usage);
    const settings = read.unsafeCoerce();
    if (flags.check) {
        console.log(`${flags.settings}: good, role ${settings.role}`);
        return;
    }
    const ports = makePorts(settings);
    ports.logger.info("starting", { pid: process.pid });
    const daemon = await run(ports, settings);
    stopOnSignal(daemon, ports.logger, ports.closeFigures);
    void daemon.failed?.then(err => endFailed(err, ports.logger));
    console.log(JSON.stringify({ event: "ready", role: settings.role, host: settings.host.id }));
}

/** The store turns what the disk throws into its own error: with both, starting again is of no use until an operator has looked. */
function isDataFault(err: unknown): boolean {
    return err instanceof DiskError || err instanceof StoreError;
}

main().catch((err: unknown) => {
    fail([(err as Error).message], isDataFault(err) ? EXIT_CODES.data : EXIT_CODES.fault);
});
