import { monitorEventLoopDelay } from "node:perf_hooks";
import { ProcessFleet } from "../../fleet/index.js";
import { Program } from "../../processes/index.js";
import { RoutedProcessFleet } from "../../routedProcesses/index.js";
import { checkStops, EntryLife, Exchange, StopFault, StopRecord } from "../checkStops/index.js";
import { StopCaller } from "../stopCaller/index.js";
import { drawStopPlan, makeFirstDocument, PlannedSilence, STOP_ROUTES, StopPlan } from "../stopPlan/index.js";

/** Result of one run. */
export interface StopReport {
    readonly record: StopRecord;
    readonly faults: readonly StopFault[];
    /** Log lines of entries that tell of a fault, by the fault's position in `faults`. */
    readonly logs: readonly (readonly string[])[];
    /** What failed, but breaks no guarantee. */
    readonly problems: readonly string[];
}

/** How a run is played and judged. */
export interface StopRunOptions {
    /** Factor on the number of processes and callers. */
    readonly size: number;
    /** The signals that are sent; others of the plan are left out. */
    readonly signals: readonly string[];
    /** Longest time that an entry may take to read a request, in milliseconds. */
    readonly readMs: number;
    /** By which a busy machine may be late, in milliseconds. */
    readonly toleranceMs: number;
    /** Shortens the plan where set; in milliseconds. */
    readonly durationMs?: number;
}

type RunningLife = { -readonly [Key in keyof EntryLife]: EntryLife[Key]; } & { readonly program: Program; };

const BALANCER_MS = 3_000;
const DRAIN_MS = 4_300;
/** From SIGTERM until the caller of an answer must have it. */
const GRACE_MS = BALANCER_MS + DRAIN_MS + 700;
/** From SIGTERM until a process that hangs is killed. A busy machine may deliver the signal seconds late. */
const KILL_MS = GRACE_MS + 10_000;
const READY_POLL_MS = 1_000;
/** Failed readiness checks in a row after which the balancer sends an entry no new connections. */
const MAX_FAILED_POLLS = 2;
const START_LIMIT_MS = 30_000;
const POLL_MS = 50;
const NS_PER_MS = 1_000_000;

/**
 * Plays a plan against separate processes, and judges what callers and upstreams saw.
 *
 * @param seed - Determines the plan; the times of processes vary from run to run.
 * @example
 * const { faults } = await runStops(42, { size: 1, signals: ["SIGTERM"], readMs: 200, toleranceMs: 0 });
 */
export async function runStops(seed: number, options: StopRunOptions): Promise<StopReport> {
    const plan = { ...drawStopPlan(seed, options.size) };
    const durationMs = options.durationMs ?? plan.durationMs;
    const fleet = await RoutedProcessFleet.start(
        { entries: plan.entries, controls: plan.controls, balancerMs: BALANCER_MS, graceMs: DRAIN_MS },
        plan.upstreams,
    );
    try {
        return await new StopRun(fleet, { ...plan, durationMs }, options).play();
    }
    finally {
        await fleet.close();
    }
}

/** One run, while it is played. */
class StopRun {
    private readonly exchanges: Exchange[] = [];
    private readonly lives: RunningLife[] = [];
    private readonly failedPolls: number[];
    private readonly processes: ProcessFleet;
    private readonly timers: NodeJS.Timeout[] = [];
    /** Delays of this process, which make what callers saw look later than it was. */
    private readonly delays = monitorEventLoopDelay({ resolution: 10 });
    /** Documents that no control process has taken. */
    private readonly problems: string[] = [];
    private isOpen = true;

    constructor(
        private readonly fleet: RoutedProcessFleet,
        private readonly plan: StopPlan,
        private readonly options: StopRunOptions,
    ) {
        this.processes = fleet.processes;
        this.failedPolls = this.processes.entries.map(() => MAX_FAILED_POLLS);
    }

    async play(): Promise<StopReport> {
        await this.fleet.applyDocument(makeFirstDocument());
        for (const [entry, program] of this.processes.entries.entries()) this.followEntry(entry, program);
        const polls = setInterval(() => void this.pollAll(), READY_POLL_MS);
        try {
            await this.awaitOpenEntries();
            this.schedule();
            this.delays.enable();
            await Promise.all([this.runCallers(), this.awaitEnd()]);
            await Promise.all(this.lives.filter(({ stoppedAt }) => stoppedAt).map(({ program }) => program.exited));
        }
        finally {
            clearInterval(polls);
            this.delays.disable();
            for (const timer of this.timers) clearTimeout(timer);
        }
        return this.judge();
    }

    /** Records the life of an entry's process, and starts the next one after its exit. */
    private followEntry(entry: number, program: Program): void {
        const life: RunningLife = { entry, program, startedAt: Date.now() };
        this.lives.push(life);
        void program.exited.then(({ code, signal }) => {
            life.exitedAt = Date.now();
            life.exit = code ?? signal;
            if (this.isOpen) this.followEntry(entry, this.processes.startEntry(entry));
        });
    }

    private async pollAll(): Promise<void> {
        await Promise.all(this.failedPolls.map(async (_, entry) => {
            const isReady = await this.processes.isEntryReady(entry);
            this.failedPolls[entry] = isReady ? 0 : this.failedPolls[entry] + 1;
        }));
    }

    private listOpenEntries(): number[] {
        return [...this.failedPolls.keys()].filter(entry => this.failedPolls[entry] < MAX_FAILED_POLLS);
    }

    private async awaitOpenEntries(): Promise<void> {
        const limit = Date.now() + START_LIMIT_MS;
        while (this.listOpenEntries().length < this.plan.entries) {
            if (Date.now() > limit) throw new Error("some entries are not ready");
            await sleep(POLL_MS);
        }
    }

    private schedule(): void {
        const { signals, silences, documents, controlStops } = this.plan;
        const sent = signals.filter(({ signal }) => this.options.signals.includes(signal));
        for (const { atMs, entry, signal } of sent) this.after(atMs, () => this.signal(entry, signal));
        for (const { atMs, control } of controlStops) this.after(atMs, () => this.stopControl(control));
        for (const silence of silences) this.after(silence.atMs, () => this.silence(silence));
        for (const { atMs, document } of documents) {
            this.after(
                atMs,
                () => void this.fleet.applyDocument(document).catch(err => this.problems.push(String(err))),
            );
        }
    }

    private stopControl(control: number): void {
        const program = this.processes.controls[control];
        program.signal("SIGTERM");
        void program.exited.then(() => this.isOpen && this.processes.startControl(control));
    }

    private silence({ upstreams, durationMs, isFrozen }: PlannedSilence): void {
        for (const upstream of upstreams) {
            if (isFrozen) void this.fleet.freeze(upstream, durationMs);
            else void this.fleet.silence(upstream, durationMs);
        }
    }

    private after(ms: number, action: () => void): void {
        if (ms < this.plan.durationMs) this.timers.push(setTimeout(action, ms));
    }

    /** A second SIGTERM asks for an immediate exit, so that none is sent to an entry that is stopping. */
    private signal(entry: number, signal: "SIGTERM" | "SIGHUP"): void {
        const life = this.lives.findLast(each => each.entry === entry)!;
        const isStarted = life.program.stdout.includes("\"ready\"");
        if (!life.program.isRunning || !isStarted || (signal === "SIGTERM" && life.stoppedAt !== undefined)) return;
        life.program.signal(signal);
        if (signal === "SIGHUP") return;
        life.stoppedAt = Date.now();
        const kill = setTimeout(() => life.program.signal("SIGKILL"), KILL_MS + this.options.toleranceMs);
        void life.program.exited.then(() => clearTimeout(kill));
    }

    private async runCallers(): Promise<void> {
        const surroundings = {
            addresses: this.processes.routeAddresses,
            listOpenEntries: () => this.listOpenEntries(),
            isOpen: () => this.isOpen,
            record: (exchange: Exchange) => void this.exchanges.push(exchange),
        };
        const callers = this.plan.callers.map((plan, number) => new StopCaller(`caller-${number}`, plan, surroundings));
        await Promise.all(callers.map(caller => caller.run()));
    }

    private async awaitEnd(): Promise<void> {
        await sleep(this.plan.durationMs);
        this.isOpen = false;
    }

    private async judge(): Promise<StopReport> {
        const { exchanges, lives } = this;
        const record: StopRecord = {
            exchanges,
            runs: await this.fleet.listRuns(),
            lives: lives.map(({ program, ...life }) => ({ ...life, noticedAt: findStopTime(program) })),
            timeouts: this.findTimeouts(),
            onceRoutes: new Set(STOP_ROUTES.filter(({ kind }) => kind === "once").map(({ name }) => name)),
            limits: {
                graceMs: GRACE_MS,
                acceptMs: BALANCER_MS,
                readMs: this.options.readMs + this.delays.max / NS_PER_MS,
                toleranceMs: this.options.toleranceMs,
            },
        };
        const faults = checkStops(record);
        return { record, faults, logs: faults.map(fault => this.findLogLines(fault)), problems: this.problems };
    }

    private findTimeouts(): Map<string, number> {
        const routes = [makeFirstDocument(), ...this.plan.documents.map(({ document }) => document)].flatMap(
            document => document.routes,
        );
        return new Map(
            STOP_ROUTES.map(({ name }) => {
                const timeouts = routes.filter(route => route.name === name).map(({ timeoutMs }) => timeoutMs);
                return [name, Math.min(...timeouts)];
            }),
        );
    }

    private findLogLines({ exchange, life }: StopFault): string[] {
        const { program } = this.lives.find(each => each.entry === life?.entry && each.startedAt === life.startedAt)
            ?? {};
        const texts = ["\"drain-started\"", "\"drain-ended\"", ...(exchange ? [`"${exchange.request}"`] : [])];
        return (program?.stderr ?? "").split("\n").filter(line => texts.some(text => line.includes(text)));
    }
}

/** Returns when a process began to drain, by its log. */
function findStopTime({ stderr }: Program): number | undefined {
    const line = stderr.split("\n").find(text => text.includes("\"drain-started\""));
    return line === undefined ? undefined : Date.parse((JSON.parse(line) as { time: string; }).time);
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
