import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { formatTrpcUrl } from "../../control/index.js";
import { CONTROL_PATHS } from "../../emulator/index.js";
import { Address, parseAddress } from "../../ports/index.js";
import { CALLER_PATHS } from "../../protocol/index.js";
import { findFreePorts } from "../findFreePorts/index.js";
import { Program, waitFor } from "../processes/index.js";

/** Options of a fleet of processes on loopback. */
export interface FleetPlan {
    /** Number of entry processes. */
    readonly entries: number;
    /** Number of control processes. */
    readonly controls: number;
    readonly zones: readonly string[];
    readonly region: string;
    /** Additional command-line flags of the emulator; those that connect it to the fleet are set automatically. */
    readonly emulator: readonly string[];
    /** Length of a usage window, in milliseconds. */
    readonly windowMs: number;
    /** Grace period after a usage window ends, in milliseconds. */
    readonly windowGraceMs: number;
    /** Whether the platform refuses orders and reports with an outdated fencing token. */
    readonly platformChecksFence: boolean;
    readonly logLevel: string;
    /** How long a stopping entry still takes new requests, in milliseconds. */
    readonly balancerMs: number;
    /** Maximum time that a stopping entry waits for running work after that, in milliseconds; undefined: the daemon's default. */
    readonly graceMs?: number;
    /** Whether entries serve the routes of the fleet document, and control processes take the announcements of upstreams. */
    readonly servesRoutes: boolean;
    /** Settings of `[limits]` of each entry and of each control process, where they differ from the daemon's defaults. */
    readonly limits?: Readonly<Record<Role, Readonly<Record<string, string>>>>;
    /** Maximum size of the heap of each entry and of each control process, in MB; undefined: that of Node.js. */
    readonly heapMb?: Readonly<Record<Role, number>>;
    /** Further flags of Node.js for each entry and for each control process. */
    readonly nodeFlags?: Readonly<Record<Role, readonly string[]>>;
}

type Role = "entry" | "control";

/** Default options of a fleet. */
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
    balancerMs: 200,
    servesRoutes: false,
};

interface EntryPorts {
    readonly callers: number;
    readonly upstreams: number;
    readonly peers: number;
    readonly relay: number;
    readonly admin: number;
    readonly routes: number;
}

interface ControlPorts {
    readonly peers: number;
    readonly operators: number;
    readonly upstreams: number;
}

const HOST = "127.0.0.1";
const PORTS_PER_ENTRY = 6;
const PORTS_PER_CONTROL = 3;
const READY_TIMEOUT_MS = 30_000;
const QUERY_TIMEOUT_MS = 1_000;

/**
 * Runs entries, control processes and the emulator as separate processes. `close` ends every process it started.
 *
 * @example
 * const fleet = await ProcessFleet.start({ ...DEFAULT_PLAN, entries: 7 });
 * await fleet.close();
 */
export class ProcessFleet {
    readonly entries: Program[] = [];
    readonly controls: Program[] = [];
    emulator!: Program;
    private emulatorListeners!: { platform: string; control: string; upstreams: string[]; };

    private constructor(
        readonly plan: FleetPlan,
        private readonly folder: string,
        readonly entryPorts: readonly EntryPorts[],
        readonly controlPorts: readonly ControlPorts[],
    ) {}

    /** Starts all processes and waits until each entry is ready and has discovered all upstreams. */
    static async start(plan: FleetPlan): Promise<ProcessFleet> {
        const folder = await mkdtemp(join(tmpdir(), "sequoiamux-"));
        const ports = await findFreePorts(plan.entries * PORTS_PER_ENTRY + plan.controls * PORTS_PER_CONTROL);
        const entryPorts = range(plan.entries).map(() => {
            const [callers, upstreams, peers, relay, admin, routes] = ports.splice(0, PORTS_PER_ENTRY);
            return { callers, upstreams, peers, relay, admin, routes };
        });
        const controlPorts = range(plan.controls).map(() => {
            const [peers, operators, upstreams] = ports.splice(0, PORTS_PER_CONTROL);
            return { peers, operators, upstreams };
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

    /** Addresses of the entries for callers' requests. */
    get callerAddresses(): Address[] {
        return this.entryPorts.map(({ callers }) => ({ host: HOST, port: callers }));
    }

    /** Addresses of the entries for calls routed by the fleet document. */
    get routeAddresses(): Address[] {
        return this.entryPorts.map(({ routes }) => ({ host: HOST, port: routes }));
    }

    /** Addresses of the control processes to which upstreams of routed calls announce themselves. */
    get announcementAddresses(): Address[] {
        return this.controlPorts.map(({ upstreams }) => ({ host: HOST, port: upstreams }));
    }

    /** Addresses of the control processes' operators' API. */
    get operatorAddresses(): Address[] {
        return this.controlPorts.map(({ operators }) => ({ host: HOST, port: operators }));
    }

    /** `IP:port` of each emulated upstream, engines first. */
    get upstreamAddresses(): readonly string[] {
        return this.emulatorListeners.upstreams;
    }

    /** `IP:port` of the emulator's control API. */
    get emulatorControlAddress(): string {
        return this.emulatorListeners.control;
    }

    /** Starts the entry process with this number, counted from 0; also after it has ended. */
    startEntry(number: number): Program {
        const program = this.startDaemon("entry", this.entrySettingsPath(number));
        this.entries[number] = program;
        return program;
    }

    /** Starts the control process with this number, counted from 0; also after it has ended. */
    startControl(number: number): Program {
        const program = this.startDaemon("control", this.controlSettingsPath(number));
        this.controls[number] = program;
        return program;
    }

    private startDaemon(role: Role, settingsPath: string): Program {
        const heapMb = this.plan.heapMb?.[role];
        const heapFlags = heapMb === undefined ? [] : [`--max-old-space-size=${heapMb}`];
        const otherFlags = this.plan.nodeFlags?.[role] ?? [];
        return new Program("daemon/main.js", ["--settings", settingsPath], [...heapFlags, ...otherFlags]);
    }

    /** Deletes a control process's data folder, as if its disk had been replaced. */
    async deleteControlData(number: number): Promise<void> {
        await rm(this.dataFolderPath(number), { recursive: true, force: true });
    }

    /** Returns the number of the control process that holds the lease; undefined when none answers as the holder. */
    async findHolder(): Promise<number | undefined> {
        const answers = await Promise.all(
            this.operatorAddresses.map(address => respondsOk(`${formatTrpcUrl(address)}/revision`)),
        );
        const holder = answers.indexOf(true);
        return holder < 0 ? undefined : holder;
    }

    /** Whether a control process reports that it is ready, which includes that it has discovered the holder of the lease. */
    isControlReady(number: number): Promise<boolean> {
        return respondsOk(`http://${HOST}:${this.controlPorts[number].operators}${CALLER_PATHS.ready}`);
    }

    /** Whether an entry process reports that it is ready for new callers. */
    isEntryReady(number: number): Promise<boolean> {
        return respondsOk(`http://${HOST}:${this.entryPorts[number].admin}${CALLER_PATHS.ready}`);
    }

    /** Fetches the counters of the emulated upstreams and the emulated platform. */
    emulatorStats(): Promise<unknown> {
        return this.queryEmulator(CONTROL_PATHS.stats);
    }

    /** Address of the emulator's control API. */
    get emulatorAddress(): Address {
        return parseAddress(this.emulatorListeners.control)!;
    }

    /** Kills all processes of the fleet, each by its own process id, and removes their files. */
    async close(): Promise<void> {
        const programs = [...this.entries, ...this.controls, this.emulator].filter(program => program?.isRunning);
        await Promise.all(programs.map(program => program.kill()));
        await rm(this.folder, { recursive: true, force: true });
    }

    private async queryEmulator(path: string): Promise<unknown> {
        const response = await fetch(`http://${this.emulatorListeners.control}${path}`);
        return response.json();
    }

    private async startAll(): Promise<void> {
        await this.startEmulator();
        await this.writeSettings();
        for (const number of range(this.plan.controls)) this.startControl(number);
        for (const number of range(this.plan.entries)) this.startEntry(number);
        await Promise.all(this.entries.map(entry => entry.line("\"ready\"", READY_TIMEOUT_MS)));
        await this.waitForUpstreams();
    }

    /** Waits until each entry has discovered all upstreams, which it needs before the first request. */
    private async waitForUpstreams(): Promise<void> {
        const expected = this.upstreamAddresses.length;
        for (const { admin } of this.entryPorts) {
            const areDiscovered = await waitFor(
                async () =>
                    await countRows(`${formatTrpcUrl({ host: HOST, port: admin })}/upstreams`) >= expected || undefined,
                READY_TIMEOUT_MS,
            );
            if (!areDiscovered) {
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
        this.emulatorListeners = JSON.parse(await this.emulator.line("\"ready\""));
    }

    private async writeSettings(): Promise<void> {
        for (const number of range(this.plan.controls)) {
            await mkdir(this.dataFolderPath(number), { recursive: true });
            await writeFile(this.controlSettingsPath(number), this.formatControlSettings(number));
        }
        for (const number of range(this.plan.entries)) {
            await writeFile(this.entrySettingsPath(number), this.formatEntrySettings(number));
        }
    }

    private formatEntrySettings(number: number): string {
        const { callers, upstreams, peers, relay, admin, routes } = this.entryPorts[number];
        const { balancerMs, graceMs, servesRoutes } = this.plan;
        return formatIni("entry", {
            host: this.makeHostSection(`entry-${number + 1}`, number),
            listen: {
                callers: `${HOST}:${callers}`,
                upstreams: `${HOST}:${upstreams}`,
                peers: `${HOST}:${peers}`,
                relay: `${HOST}:${relay}`,
                admin: `${HOST}:${admin}`,
                ...(servesRoutes ? { routes: `${HOST}:${routes}` } : {}),
            },
            control: { members: this.formatMembers() },
            ...this.formatLimits("entry"),
            stop: {
                balancer_ms: String(balancerMs),
                ...(graceMs === undefined ? {} : { grace_ms: String(graceMs) }),
            },
            usage: { window_ms: String(this.plan.windowMs) },
            log: { level: this.plan.logLevel },
        });
    }

    private formatControlSettings(number: number): string {
        const { peers, operators, upstreams } = this.controlPorts[number];
        return formatIni("control", {
            host: this.makeHostSection(`control-${number + 1}`, number),
            listen: {
                peers: `${HOST}:${peers}`,
                operators: `${HOST}:${operators}`,
                ...(this.plan.servesRoutes ? { upstreams: `${HOST}:${upstreams}` } : {}),
            },
            control: { members: this.formatMembers() },
            ...this.formatLimits("control"),
            data: { folder: this.dataFolderPath(number) },
            platform: {
                address: this.emulatorListeners.platform,
                checks_fence: this.plan.platformChecksFence ? "yes" : "no",
            },
            usage: { window_ms: String(this.plan.windowMs), grace_ms: String(this.plan.windowGraceMs) },
            log: { level: this.plan.logLevel },
        });
    }

    private formatLimits(role: Role): Record<string, Record<string, string>> {
        const limits = this.plan.limits?.[role];
        return limits ? { limits } : {};
    }

    private makeHostSection(id: string, number: number): Record<string, string> {
        return { id, zone: this.plan.zones[number % this.plan.zones.length], region: this.plan.region };
    }

    private formatMembers(): string {
        return this.controlPorts.map(({ peers }, number) => `control-${number + 1}@${HOST}:${peers}`).join(", ");
    }

    private entrySettingsPath(number: number): string {
        return join(this.folder, `entry-${number + 1}.ini`);
    }

    private controlSettingsPath(number: number): string {
        return join(this.folder, `control-${number + 1}.ini`);
    }

    private dataFolderPath(number: number): string {
        return join(this.folder, `data-${number + 1}`);
    }
}

/** Whether a URL answers with success in time; a frozen process accepts connections, but never answers. */
async function respondsOk(url: string): Promise<boolean> {
    try {
        return (await fetch(url, { signal: AbortSignal.timeout(QUERY_TIMEOUT_MS) })).ok;
    }
    catch {
        return false;
    }
}

/** Returns the number of rows that an operators' query returns; 0 when it fails or does not answer in time. */
async function countRows(url: string): Promise<number> {
    try {
        const response = await fetch(url, { signal: AbortSignal.timeout(QUERY_TIMEOUT_MS) });
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
