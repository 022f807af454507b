import { OperatorApi } from "../../cli/index.js";
import { CALL_UPSTREAM_PATHS, UpstreamRuns, upstreamRunsSchema } from "../../emulator/index.js";
import { formatAddress, NodeHttp, SystemClock } from "../../ports/index.js";
import { findFreePorts } from "../findFreePorts/index.js";
import { DEFAULT_PLAN, FleetPlan, ProcessFleet } from "../fleet/index.js";
import { Program } from "../processes/index.js";

/** An emulated upstream that runs as a process of its own. */
export interface UpstreamPlan {
    readonly pool: string;
    /** Time before an answer, in milliseconds. */
    readonly workMs: number;
    /** Number of events of an answer; 0 for plain answers. */
    readonly events: number;
    /** Pause between two events, in milliseconds. */
    readonly gapMs: number;
    /** Bytes added to each event. */
    readonly eventPadding: number;
}

interface RunningUpstream {
    readonly program: Program;
    /** `IP:port` of its control API. */
    readonly control: string;
}

/** A call that an upstream began to run. */
export type UpstreamRun = UpstreamRuns[number] & { readonly upstream: string; };

/**
 * Entries, control processes and upstreams of routed calls, all as separate processes on loopback. `close` ends every process it started.
 *
 * @example
 * const fleet = await RoutedProcessFleet.start({ entries: 3 }, upstreams);
 * await fleet.applyDocument(document);
 * await fleet.close();
 */
export class RoutedProcessFleet {
    readonly upstreams: RunningUpstream[] = [];
    readonly api: OperatorApi;

    private constructor(readonly processes: ProcessFleet) {
        const controlAddresses = processes.operatorAddresses;
        this.api = new OperatorApi({ http: new NodeHttp(), clock: new SystemClock(), controlAddresses });
    }

    /** Starts all processes; there is no document yet. */
    static async start(plan: Partial<FleetPlan>, upstreams: readonly UpstreamPlan[]): Promise<RoutedProcessFleet> {
        const emulator = ["--engines", "0", "--services", "0"];
        const processes = await ProcessFleet.start({ ...DEFAULT_PLAN, emulator, ...plan, servesRoutes: true });
        const fleet = new RoutedProcessFleet(processes);
        try {
            await fleet.startUpstreams(upstreams);
        }
        catch (err) {
            await fleet.close();
            throw err;
        }
        return fleet;
    }

    /** Puts a fleet document in force. */
    async applyDocument(document: object): Promise<void> {
        await this.api.call(client => client.applyDocument.mutate(JSON.stringify(document)));
    }

    /** Has an upstream send nothing for a time, in milliseconds, with its connections left open. */
    async silence(upstream: number, ms: number): Promise<void> {
        const body = JSON.stringify({ ms });
        await fetch(`${this.controlUrl(upstream)}${CALL_UPSTREAM_PATHS.silence}`, { method: "POST", body });
    }

    /** Freezes an upstream's process for a time, in milliseconds. */
    async freeze(upstream: number, ms: number): Promise<void> {
        const { program } = this.upstreams[upstream];
        program.signal("SIGSTOP");
        await new Promise(resolve => setTimeout(resolve, ms));
        program.signal("SIGCONT");
    }

    /** Returns the calls that all upstreams have begun to run. */
    async listRuns(): Promise<UpstreamRun[]> {
        const lists = await Promise.all(this.upstreams.map(async (_, number) => {
            const response = await fetch(`${this.controlUrl(number)}${CALL_UPSTREAM_PATHS.runs}`);
            const runs = upstreamRunsSchema.parse(await response.json());
            return runs.map(run => ({ ...run, upstream: upstreamId(number) }));
        }));
        return lists.flat();
    }

    /** Kills all processes, each by its own process id. */
    async close(): Promise<void> {
        await Promise.all(this.upstreams.map(({ program }) => program.kill()));
        await this.processes.close();
    }

    private controlUrl(upstream: number): string {
        return `http://${this.upstreams[upstream].control}`;
    }

    private async startUpstreams(plans: readonly UpstreamPlan[]): Promise<void> {
        const ports = await findFreePorts(plans.length);
        const announceTo = this.processes.announcementAddresses.map(address => formatAddress(address)).join(",");
        const { zones } = this.processes.plan;
        const programs = plans.map((plan, number) =>
            new Program("emulator/callUpstreamProgram/main.js", [
                ...["--id", upstreamId(number), "--address", `127.0.0.1:${ports[number]}`],
                ...["--pool", plan.pool, "--zone", zones[number % zones.length], "--announce-to", announceTo],
                ...["--work-ms", String(plan.workMs), "--events", String(plan.events)],
                ...["--gap-ms", String(plan.gapMs), "--event-padding", String(plan.eventPadding)],
            ])
        );
        this.upstreams.push(...programs.map(program => ({ program, control: "" })));
        await Promise.all(programs.map(async (program, number) => {
            const { control } = JSON.parse(await program.line("\"ready\"")) as { control: string; };
            this.upstreams[number] = { program, control };
        }));
    }
}

function upstreamId(number: number): string {
    return `upstream-${number}`;
}
