import { DEFAULT_REPEAT_LIMITS } from "../../../passthrough/index.js";
import { DisturbedEntries } from "../../disturbedEntries/index.js";
import { ProcessFleet } from "../../fleet/index.js";
import { makeRandom } from "../../makeRandom/index.js";
import { waitFor } from "../../processes/index.js";
import { RawRequest, RawUpstream } from "../../rawUpstream/index.js";
import { RoutedProcessFleet } from "../../routedProcesses/index.js";
import { checkRefusals, RefusalExchange, RefusalFault, RefusalRecord } from "../checkRefusals/index.js";
import { drawRawReply } from "../drawRawReply/index.js";
import { RefusalCaller } from "../refusalCaller/index.js";
import {
    drawRefusalPlan,
    EntryEvent,
    makeRefusalDocument,
    REFUSAL_POOL,
    REFUSAL_ROUTES,
    RefusalCallerPlan,
    RefusalPlan,
} from "../refusalPlan/index.js";

/** Result of one run. */
export interface RefusalReport {
    readonly record: RefusalRecord;
    readonly faults: readonly RefusalFault[];
    /** Log lines of entries that tell of a fault, by the fault's position in `faults`. */
    readonly logs: readonly (readonly string[])[];
}

/** How a run is played. */
export interface RefusalRunOptions {
    /** Factor on the number of processes and callers. */
    readonly size: number;
    /** Shortens the plan where set; in milliseconds. */
    readonly durationMs?: number;
}

const BALANCER_MS = 500;
const DRAIN_MS = 2_500;
const START_LIMIT_MS = 30_000;
/** After the last answer: longer than a call may still be on its way. */
const SETTLE_MS = 3_000;
const SLOTS = 32;
/** Callers that send large requests to a loaded entry, one after the other. */
const LOAD_CALLERS = 12;
const LOAD_PLAN = { leaves: 0, maxThinkMs: 0 } as const;

/**
 * Plays a plan against separate processes, and judges what callers and upstreams saw.
 *
 * @param seed - Determines the plan; the times of processes vary from run to run.
 * @example
 * const { faults } = await runRefusals(42, { size: 1 });
 */
export async function runRefusals(seed: number, { size, durationMs }: RefusalRunOptions): Promise<RefusalReport> {
    const plan = drawRefusalPlan(seed, size);
    const { entries, controls } = plan;
    const fleet = await RoutedProcessFleet.start({ entries, controls, balancerMs: BALANCER_MS, graceMs: DRAIN_MS }, []);
    const run = new RefusalRun(fleet, { ...plan, durationMs: durationMs ?? plan.durationMs }, seed);
    try {
        return await run.play();
    }
    finally {
        await run.close();
        await fleet.close();
    }
}

/** One run, while it is played. */
class RefusalRun {
    private readonly exchanges: RefusalExchange[] = [];
    private readonly entries: DisturbedEntries;
    private readonly upstreams: RawUpstream[] = [];
    private readonly timers: NodeJS.Timeout[] = [];
    private readonly processes: ProcessFleet;
    private startedAt = Number.POSITIVE_INFINITY;
    private isOpen = true;
    private loadCount = 0;

    constructor(
        private readonly fleet: RoutedProcessFleet,
        private readonly plan: RefusalPlan,
        private readonly seed: number,
    ) {
        this.processes = fleet.processes;
        this.entries = new DisturbedEntries(fleet.processes);
    }

    async play(): Promise<RefusalReport> {
        await this.fleet.applyDocument(makeRefusalDocument());
        await this.startUpstreams();
        await this.awaitArrivals();
        this.startedAt = Date.now();
        for (const event of this.plan.events) this.after(event.atMs, () => void this.disturb(event));
        await Promise.all([this.runCallers(this.plan.callers, "caller"), this.awaitEnd()]);
        await sleep(SETTLE_MS);
        return this.judge();
    }

    async close(): Promise<void> {
        this.isOpen = false;
        this.entries.close();
        for (const timer of this.timers) clearTimeout(timer);
        await Promise.all(this.upstreams.map(upstream => upstream.close()));
    }

    private async startUpstreams(): Promise<void> {
        const { zones } = this.processes.plan;
        for (let number = 0; number < this.plan.upstreams; number++) {
            const random = makeRandom(this.seed + number);
            this.upstreams.push(
                await RawUpstream.start({
                    id: `upstream-${number}`,
                    pool: REFUSAL_POOL,
                    zone: zones[number % zones.length],
                    slots: SLOTS,
                    announceTo: this.processes.announcementAddresses,
                    reply: request => drawRawReply(random, this.habitOf(number), request, isStreamed(request)),
                }),
            );
        }
    }

    private habitOf(upstream: number) {
        const sinceStart = Date.now() - this.startedAt;
        const phase = this.plan.phases.findLast(({ atMs }) => sinceStart >= atMs);
        return phase?.habits[upstream] ?? { refuses: 0, errs: 0, copies: 0 };
    }

    /** Waits until calls reach each upstream. */
    private async awaitArrivals(): Promise<void> {
        const surroundings = { ...this.surroundings(), isOpen: () => !this.areReached(), record: () => undefined };
        const probes = this.plan.callers.map(({ seed }, number) =>
            new RefusalCaller(`probe-${number}`, { seed, ...LOAD_PLAN }, surroundings).run()
        );
        const isReached = await waitFor(() => this.areReached() || undefined, START_LIMIT_MS);
        if (!isReached) throw new Error("some upstreams get no calls");
        await Promise.all(probes);
    }

    private areReached(): boolean {
        return this.upstreams.every(({ arrivals }) => arrivals.length > 0);
    }

    private disturb({ kind, entry, durationMs }: EntryEvent): Promise<void> {
        return kind === "load"
            ? this.load(entry, durationMs)
            : this.entries.disturb({ kind, entry, durationMs });
    }

    private async load(entry: number, durationMs: number): Promise<void> {
        const until = Date.now() + durationMs;
        const surroundings = this.surroundings();
        const callers = Array.from({ length: LOAD_CALLERS }, (_, number) => ({ ...LOAD_PLAN, seed: number + 1 }));
        await this.runCallers(callers, `load-${++this.loadCount}`, {
            ...surroundings,
            addresses: [surroundings.addresses[entry]],
            isOpen: () => this.isOpen && Date.now() < until,
        });
    }

    private surroundings() {
        return {
            addresses: this.processes.routeAddresses,
            isOpen: () => this.isOpen,
            record: (exchange: RefusalExchange): void => void this.exchanges.push(exchange),
        };
    }

    private async runCallers(
        plans: readonly RefusalCallerPlan[],
        name: string,
        surroundings = this.surroundings(),
    ): Promise<void> {
        const callers = plans.map((plan, number) => new RefusalCaller(`${name}-${number}`, plan, surroundings));
        await Promise.all(callers.map(caller => caller.run()));
    }

    private after(ms: number, action: () => void): void {
        if (ms < this.plan.durationMs) this.timers.push(setTimeout(action, ms));
    }

    private async awaitEnd(): Promise<void> {
        await sleep(this.plan.durationMs);
        this.isOpen = false;
    }

    private judge(): RefusalReport {
        const { exchanges } = this;
        const onceRoutes = new Set(REFUSAL_ROUTES.filter(({ kind }) => kind !== "idempotent").map(({ name }) => name));
        const record = {
            exchanges,
            onceRoutes,
            endedEntries: this.entries.ended,
            runs: this.upstreams.flatMap(({ runs }) => runs),
            arrivals: this.listArrivals(),
            repeats: DEFAULT_REPEAT_LIMITS,
        };
        const faults = checkRefusals(record);
        return { record, faults, logs: faults.map(fault => this.findLogLines(fault)) };
    }

    /** Lists what reached upstreams since the start; what the probes before it sent is not recorded either. */
    private listArrivals() {
        const arrivals = this.upstreams.flatMap(upstream => upstream.arrivals);
        return arrivals.filter(({ at }) => at >= this.startedAt).map(({ id, at }) => ({ request: id, at }));
    }

    private findLogLines({ exchange }: RefusalFault): string[] {
        return exchange ? this.entries.findLogLines(exchange.request) : [];
    }
}

function isStreamed({ path }: RawRequest): boolean {
    return REFUSAL_ROUTES.some(({ name, kind }) => kind === "stream" && path.startsWith(`/${name}/`));
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
