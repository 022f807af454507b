import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { formatTrpcUrl } from "../../control/index.js";
import { CONTROL_PATHS } from "../../emulator/index.js";
import { Address, parseAddress } from "../../ports/index.js";
import { CALLER_PATHS } from "../../protocol/index.js";
import { findFreePorts } from "../freePorts/index.js";
import { Program, waitFor } from "../processes/index.js";

/** A fleet of real processes on loopback. */
export interface FleetPlan {
    readonly entries: number;
    readonly controls: number;
    readonly zones: readonly string[];
    readonly region: string;
    /** Flags of the emulator beside those that join it to the fleet. */
    readonly emulator: readonly string[];
    readonly windowMs: number;
    readonly windowGraceMs: number;
    /** Whether the platform refuses orders and reports with an old fencing token. */
    readonly platformChecksFence: boolean;
    readonly logLevel: string;
}

/** The plan used where a caller gives no other. */
export const DEFAULT_PLAN: FleetPlan = {
    entries: 2,
    controls: 3,
    zones: ["keflavik", "grindavik", "vogar"],
    region: "sudurnes",
    emulator: [],
    windowMs: 5_000,
    windowGraceMs: 1_000,
    platformChecksFence: true,
    logLevel: "info",
};

interface EntryPorts {
    readonly callers: number;
    readonly upstreams: number;
    readonly peers: number;
    readonly admin: number;
}

interface ControlPorts {
    readonly peers: number;
    readonly operators: number;
}

const HOST = "127.0.0.1";
const READY_LIMIT_MS = 30_000;
const ANSWER_LIMIT_MS = 1_000;

/**
 * Entries, control processes and the emulator as processes of their own. Everything it starts ends with `close`.
 *
 * @example
 * const fleet = await ProcessFleet.start({ ...DEFAULT_PLAN, entries: 7 });
 * await fleet.close();
 */
export class ProcessFleet {
    readonly entries: Program[] = [];
    readonly controls: Program[] = [];
    emulator!: Program;
    private emulatorAddresses!: { platform: string; control: string; upstreams: string[]; };

    private constructor(
        readonly plan: FleetPlan,
        private readonly folder: string,
        readonly entryPorts: readonly EntryPorts[],
        readonly controlPorts: readonly ControlPorts[],
    ) {}

    /** Starts all processes and waits until each entry serves callers. */
    static async start(plan: FleetPlan): Promise<ProcessFleet> {
        const folder = await mkdtemp(join(tmpdir(), "sequoiamux-"));
        const ports = await findFreePorts(plan.entries * 4 + plan.controls * 2);
        const entryPorts = range(plan.entries).map(() => {
            const [callers, upstreams, peers, admin] = ports.splice(0, 4);
            return { callers, upstreams, peers, admin };
        });
        const controlPorts = range(plan.controls).map(() => {
            const [peers, operators] = ports.splice(0, 2);
            return { peers, operators };
        });
        const fleet = new ProcessFleet(plan, folder, entryPorts, controlPorts);
        try {
            await fleet.startAll();
        }
        catch (err) {
            await fleet.close();
            throw err;
        }
        return fleet;
    }

    /** Where callers send requests. */
    get callerAddresses(): Address[] {
        return this.entryPorts.map(({ callers }) => ({ host: HOST, port: callers }));
    }

    /** Where operators reach the control processes. */
    get operatorAddresses(): Address[] {
        return this.controlPorts.map(({ operators }) => ({ host: HOST, port: operators }));
    }

    /** `IP:port` of each stand-in, engines first. */
    get upstreamAddresses(): readonly string[] {
        return this.emulatorAddresses.upstreams;
    }

    /** `IP:port` where the emulator is asked and steered. */
    get emulatorControl(): string {
        return this.emulatorAddresses.control;
    }

    startEntry(number: number): Program {
        const program = new Program("daemon/main.js", ["--settings", this.entryFile(number)]);
        this.entries[number] = program;
        return program;
    }

    startControl(number: number): Program {
        const program = new Program("daemon/main.js", ["--settings", this.controlFile(number)]);
        this.controls[number] = program;
        return program;
    }

    /** Throws away a control process's data folder, as a replaced disk does. */
    async wipeControl(number: number): Promise<void> {
        await rm(this.dataFolder(number), { recursive: true, force: true });
    }

    /** The number of the control process that holds the lease, undefined when none answers as the holder. */
    async findHolder(): Promise<number | undefined> {
        const answers = await Promise.all(
            this.operatorAddresses.map(address => isOk(`${formatTrpcUrl(address)}/revision`)),
        );
        const holder = answers.indexOf(true);
        return holder < 0 ? undefined : holder;
    }

    /** Whether a control process says that it is ready: it knows who holds the lease. */
    isControlReady(number: number): Promise<boolean> {
        return isOk(`http://${HOST}:${this.controlPorts[number].operators}${CALLER_PATHS.ready}`);
    }

    /** What the stand-ins have counted. */
    emulatorStats(): Promise<unknown> {
        return this.askEmulator(CONTROL_PATHS.stats);
    }

    /** The emulator's control port. */
    get emulatorAddress(): Address {
        return parseAddress(this.emulatorAddresses.control)!;
    }

    /** Ends all processes, by their own ids, and removes their files. */
    async close(): Promise<void> {
        const programs = [...this.entries, ...this.controls, this.emulator].filter(program => program?.isRunning);
        await Promise.all(programs.map(program => program.kill()));
        await rm(this.folder, { recursive: true, force: true });
    }

    private async askEmulator(path: string): Promise<unknown> {
        const response = await fetch(`http://${this.emulatorAddresses.control}${path}`);
        return response.json();
    }

    private async startAll(): Promise<void> {
        await this.startEmulator();
        await this.writeSettings();
        for (const number of range(this.plan.controls)) this.startControl(number);
        for (const number of range(this.plan.entries)) this.startEntry(number);
        await Promise.all(this.entries.map(entry => entry.line("\"ready\"", READY_LIMIT_MS)));
        await this.awaitUpstreams();
    }

    /** The entries must have heard of the upstreams before the first request. */
    private async awaitUpstreams(): Promise<void> {
        const expected = this.upstreamAddresses.length;
        for (const { admin } of this.entryPorts) {
            const heard = await waitFor(
                async () =>
                    await countRows(`${formatTrpcUrl({ host: HOST, port: admin })}/upstreams`) >= expected || undefined,
                READY_LIMIT_MS,
            );
            if (!heard) {
                throw new Error(`the entry with the admin port ${admin} has not heard of ${expected} upstreams`);
            }
        }
    }

    private async startEmulator(): Promise<void> {
        const entries = this.entryPorts.map(({ upstreams }) => `${HOST}:${upstreams}`).join(",");
        const zones = this.plan.zones.join(",");
        this.emulator = new Program("emulator/main.js", [
            "--entries",
            entries,
            "--zones",
            zones,
            "--platform-checks-fence",
            String(this.plan.platformChecksFence),
            ...this.plan.emulator,
        ]);
        this.emulatorAddresses = JSON.parse(await this.emulator.line("\"ready\""));
    }

    private async writeSettings(): Promise<void> {
        for (const number of range(this.plan.controls)) {
            await mkdir(this.dataFolder(number), { recursive: true });
            await writeFile(this.controlFile(number), this.formatControl(number));
        }
        for (const number of range(this.plan.entries)) {
            await writeFile(this.entryFile(number), this.formatEntry(number));
        }
    }

    private formatEntry(number: number): string {
        const { callers, upstreams, peers, admin } = this.entryPorts[number];
        return formatIni("entry", {
            host: this.hostSection(`entry-${number + 1}`, number),
            listen: {
                callers: `${HOST}:${callers}`,
                upstreams: `${HOST}:${upstreams}`,
                peers: `${HOST}:${peers}`,
                admin: `${HOST}:${admin}`,
            },
            control: { members: this.formatMembers() },
            stop: { balancer_ms: "200" },
            usage: { window_ms: String(this.plan.windowMs) },
            log: { level: this.plan.logLevel },
        });
    }

    private formatControl(number: number): string {
        const { peers, operators } = this.controlPorts[number];
        return formatIni("control", {
            host: this.hostSection(`control-${number + 1}`, number),
            listen: { peers: `${HOST}:${peers}`, operators: `${HOST}:${operators}` },
            control: { members: this.formatMembers() },
            data: { folder: this.dataFolder(number) },
            platform: {
                address: this.emulatorAddresses.platform,
                checks_fence: this.plan.platformChecksFence ? "yes" : "no",
            },
            usage: { window_ms: String(this.plan.windowMs), grace_ms: String(this.plan.windowGraceMs) },
            log: { level: this.plan.logLevel },
        });
    }

    private hostSection(id: string, number: number): Record<string, string> {
        return { id, zone: this.plan.zones[number % this.plan.zones.length], region: this.plan.region };
    }

    private formatMembers(): string {
        return this.controlPorts.map(({ peers }, number) => `control-${number + 1}@${HOST}:${peers}`).join(", ");
    }

    private entryFile(number: number): string {
        return join(this.folder, `entry-${number + 1}.ini`);
    }

    private controlFile(number: number): string {
        return join(this.folder, `control-${number + 1}.ini`);
    }

    private dataFolder(number: number): string {
        return join(this.folder, `data-${number + 1}`);
    }
}

/** A process that is frozen takes connections and answers nothing. */
async function isOk(url: string): Promise<boolean> {
    try {
        return (await fetch(url, { signal: AbortSignal.timeout(ANSWER_LIMIT_MS) })).ok;
    }
    catch {
        return false;
    }
}

/** How many rows an operators' query gives; 0 when it gives no answer. */
async function countRows(url: string): Promise<number> {
    try {
        const response = await fetch(url, { signal: AbortSignal.timeout(ANSWER_LIMIT_MS) });
        const answer = await response.json() as { result: { data: unknown[]; }; };
        return answer.result.data.length;
    }
    catch {
        return 0;
    }
}

function formatIni(role: string, sections: Record<string, Record<string, string>>): string {
    const lines = [`role = ${role}`];
    for (const [section, values] of Object.entries(sections)) {
        lines.push("", `[${section}]`, ...Object.entries(values).map(([name, value]) => `${name} = ${value}`));
    }
    return `${lines.join("\n")}\n`;
}

function range(count: number): number[] {
    return Array.from({ length: count }, (_, number) => number);
}
