import { DisturbedEntries } from "../../disturbedEntries/index.js";
import { makeRandom } from "../../makeRandom/index.js";
import { waitFor } from "../../processes/index.js";
import { RawUpstream } from "../../rawUpstream/index.js";
import { RoutedProcessFleet } from "../../routedProcesses/index.js";
import { checkGarbledStreams, GarbledFault, GarbledRecord, StreamExchange } from "../checkGarbledStreams/index.js";
import { drawGarbledReply, ServedStream } from "../drawGarbledReply/index.js";
import { drawGarblePlan, GarblePlan, makeStreamDocument, STREAM_POOL } from "../garblePlan/index.js";
import { StreamCaller, StreamSurroundings } from "../streamCaller/index.js";

/** Result of one run. */
export interface GarbledReport {
    readonly record: GarbledRecord;
    readonly faults: readonly GarbledFault[];
    /** Log lines of entries that tell of a fault, by the fault's position in `faults`. */
    readonly logs: readonly (readonly string[])[];
}

/** How a run is played. */
export interface GarbledRunOptions {
    /** Factor on the number of processes and callers. */
    readonly size: number;
    /** Shortens the plan where set; in milliseconds. */
    readonly durationMs?: number;
}

const BALANCER_MS = 500;
const DRAIN_MS = 2_500;
const START_LIMIT_MS = 30_000;
const SLOTS = 64;
const SOFTWARE_VERSION = "1";
const PROBE_PLAN = { leaves: 0, maxThinkMs: 0 } as const;

/**
 * Plays a plan against separate processes, and judges what callers and upstreams saw.
 *
 * @param seed - Determines the plan; the times of processes vary from run to run.
 * @example
 * const { faults } = await runGarbledStreams(42, { size: 1 });
 */
export async function runGarbledStreams(seed: number, { size, durationMs }: GarbledRunOptions): Promise<GarbledReport> {
    const plan = drawGarblePlan(seed, size);
    const { entries, controls } = plan;
    const fleet = await RoutedProcessFleet.start({ entries, controls, balancerMs: BALANCER_MS, graceMs: DRAIN_MS }, []);
    const run = new GarbledRun(fleet, { ...plan, durationMs: durationMs ?? plan.durationMs }, seed);
    try {
        return await run.play();
    }
    finally {
        await run.close();
        await fleet.close();
    }
}

/** One run, while it is played. */
class GarbledRun {
    private readonly exchanges: StreamExchange[] = [];
    private readonly served: ServedStream[] = [];
    private readonly upstreams: RawUpstream[] = [];
    private readonly timers: NodeJS.Timeout[] = [];
    private readonly entries: DisturbedEntries;
    private startedAt = Number.POSITIVE_INFINITY;
    private isOpen = true;

    constructor(
        private readonly fleet: RoutedProcessFleet,
        private readonly plan: GarblePlan,
        private readonly seed: number,
    ) {
        this.entries = new DisturbedEntries(fleet.processes);
    }

    async play(): Promise<GarbledReport> {
        await this.fleet.applyDocument(makeStreamDocument());
        await this.startUpstreams();
        await this.awaitArrivals();
        this.startedAt = Date.now();
        for (const event of this.plan.events) this.after(event.atMs, () => void this.entries.disturb(event));
        this.after(this.plan.durationMs, () => this.isOpen = false);
        await this.runCallers("caller", this.surroundings());
        return this.judge();
    }

    async close(): Promise<void> {
        this.isOpen = false;
        this.entries.close();
        for (const timer of this.timers) clearTimeout(timer);
        await Promise.all(this.upstreams.map(upstream => upstream.close()));
    }

    private async startUpstreams(): Promise<void> {
        const { plan, announcementAddresses } = this.fleet.processes;
        for (let number = 0; number < this.plan.upstreams; number++) {
            const random = makeRandom(this.seed + number);
            const id = `upstream-${number}`;
            this.upstreams.push(
                await RawUpstream.start({
                    id,
                    pool: STREAM_POOL,
                    zone: plan.zones[number % plan.zones.length],
                    slots: SLOTS,
                    softwareVersion: SOFTWARE_VERSION,
                    announceTo: announcementAddresses,
                    reply: request => {
                        const { served, reply } = drawGarbledReply(random, this.shareOf(number), request, id);
                        if (request.id !== "") this.served.push(served);
                        return reply;
                    },
                }),
            );
        }
    }

    /** Returns the share of streams that an upstream spoils now. */
    private shareOf(upstream: number): number {
        const sinceStart = Date.now() - this.startedAt;
        return this.plan.phases.findLast(({ atMs }) => sinceStart >= atMs)?.shares[upstream] ?? 0;
    }

    /** Waits until calls reach each upstream. */
    private async awaitArrivals(): Promise<void> {
        const areReached = (): boolean => this.upstreams.every(({ arrivals }) => arrivals.length > 0);
        let isWaiting = true;
        const isOpen = (): boolean => isWaiting && !areReached();
        const probes = this.runCallers(
            "probe",
            { ...this.surroundings(), isOpen, record: () => undefined },
            PROBE_PLAN,
        );
        const isReached = await waitFor(() => areReached() || undefined, START_LIMIT_MS);
        isWaiting = false;
        await probes;
        if (!isReached) throw new Error("some upstreams get no calls");
    }

    private surroundings(): StreamSurroundings {
        return {
            addresses: this.fleet.processes.routeAddresses,
            isOpen: () => this.isOpen,
            record: exchange => void this.exchanges.push(exchange),
        };
    }

    private async runCallers(name: string, surroundings: StreamSurroundings, parts: object = {}): Promise<void> {
        const callers = this.plan.callers.map((plan, number) =>
            new StreamCaller(`${name}-${number}`, { ...plan, ...parts }, surroundings)
        );
        await Promise.all(callers.map(caller => caller.run()));
    }

    private after(ms: number, action: () => void): void {
        if (ms <= this.plan.durationMs) this.timers.push(setTimeout(action, ms));
    }

    private judge(): GarbledReport {
        const runs = this.upstreams.flatMap(upstream => upstream.runs);
        const record = { runs, exchanges: this.exchanges, served: this.served, endedEntries: this.entries.ended };
        const faults = checkGarbledStreams(record);
        const logs = faults.map(({ exchange }) => exchange ? this.entries.findLogLines(exchange.request) : []);
        return { record, faults, logs };
    }
}
