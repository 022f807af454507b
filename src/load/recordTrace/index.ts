import { ControlAction } from "../../emulator/index.js";
import { Random } from "../../ports/index.js";
import {
    Trace,
    TRACE_VERSION,
    TraceBounds,
    TraceClass,
    TraceFault,
    TraceRequest,
    TraceWorkspace,
} from "../trace/index.js";

/** A workspace's part in the traffic. */
export interface WorkspacePlan extends TraceWorkspace {
    /** Its part of the requests, beside the parts of the others. */
    readonly part: number;
    /** What the workspace's prompts begin with; long enough to be worth a cache. */
    readonly system: string;
}

/** Requests of one class over a span of time, the most of them about a peak. */
interface TrafficPlan {
    readonly className: string;
    readonly count: number;
    readonly startMs: number;
    readonly peakMs: number;
    readonly endMs: number;
    /** The workspaces that send them; empty means all. */
    readonly workspaces: readonly string[];
}

/** Chat requests. */
export interface ChatTraffic extends TrafficPlan {
    readonly kind: "chat";
    readonly model: string;
    /** Each `#` stands for a number. */
    readonly prompts: readonly string[];
    readonly leastTokens: number;
    readonly mostTokens: number;
    /** The share that asks for one whole JSON answer instead of a stream. */
    readonly wholeShare: number;
    /** The share of callers that go away early. */
    readonly leavingShare: number;
}

/** Calls of a plain service. */
export interface ServiceTraffic extends TrafficPlan {
    readonly kind: "service";
    readonly service: string;
    readonly path: string;
    readonly items: readonly string[];
}

/** Something that goes wrong at a set time. */
export interface FaultPlan {
    readonly atMs: number;
    readonly action: ControlAction;
}

/** All that a trace is made from. */
export interface TracePlan {
    readonly name: string;
    readonly zones: readonly string[];
    readonly classes: readonly TraceClass[];
    readonly workspaces: readonly WorkspacePlan[];
    readonly traffic: readonly (ChatTraffic | ServiceTraffic)[];
    readonly bounds: TraceBounds;
    /** What goes wrong, in the order of its times. */
    readonly faults: readonly FaultPlan[];
    /** Settings of the emulator, by the names of its flags. */
    readonly emulator: Readonly<Record<string, string | number | boolean>>;
}

const HIGHEST_NUMBER = 1_000;
const SPARE_TOKENS = 16;
const EARLIEST_LEAVE_MS = 100;
const LATEST_LEAVE_MS = 600;

/**
 * Makes a trace.
 *
 * @param plan - What it is made from.
 * @param random - Seeded, so that the trace can be made again.
 * @returns The requests in the order of their times.
 * @example
 * recordTrace(UTILITY_MORNING, new SeededRandom(1));
 */
export function recordTrace(plan: TracePlan, random: Random): Trace {
    const recorder = new TraceRecorder(plan, random);
    const requests = plan.traffic.flatMap(traffic => recorder.recordTraffic(traffic));
    return {
        header: {
            version: TRACE_VERSION,
            name: plan.name,
            zones: [...plan.zones],
            models: unique(plan.traffic.flatMap(traffic => traffic.kind === "chat" ? [traffic.model] : [])),
            services: unique(plan.traffic.flatMap(traffic => traffic.kind === "service" ? [traffic.service] : [])),
            classes: [...plan.classes],
            workspaces: plan.workspaces.map(({ name, weight }) => ({ name, weight })),
            bounds: plan.bounds,
            emulator: plan.emulator,
        },
        requests: requests.sort((a, b) => a.at_ms - b.at_ms),
        faults: plan.faults.map(({ atMs, action }): TraceFault => ({ at_ms: atMs, kind: "fault", action }))
            .sort((a, b) => a.at_ms - b.at_ms),
    };
}

class TraceRecorder {
    private nextCall = 1;

    constructor(private readonly plan: TracePlan, private readonly random: Random) {}

    recordTraffic(traffic: ChatTraffic | ServiceTraffic): TraceRequest[] {
        const record = (): TraceRequest =>
            traffic.kind === "chat" ? this.recordChat(traffic) : this.recordCall(traffic);
        return Array.from({ length: traffic.count }, record);
    }

    private recordChat(traffic: ChatTraffic): TraceRequest {
        const { random } = this;
        const workspace = this.pickWorkspace(traffic.workspaces);
        const tokens = random.integer(traffic.leastTokens, traffic.mostTokens + 1);
        const text = random.pick(traffic.prompts).replace(/#/g, () => String(random.integer(1, HIGHEST_NUMBER)));
        const isLeaving = random.next() < traffic.leavingShare;
        return {
            at_ms: this.drawTime(traffic),
            workspace: workspace.name,
            class: traffic.className,
            kind: "chat",
            model: traffic.model,
            messages: [
                { role: "system", content: workspace.system },
                { role: "user", content: `${text} [tokens=${tokens}]` },
            ],
            max_tokens: traffic.mostTokens + SPARE_TOKENS,
            tokens,
            stream: random.next() >= traffic.wholeShare,
            ...(isLeaving ? { leave_after_ms: random.integer(EARLIEST_LEAVE_MS, LATEST_LEAVE_MS) } : {}),
        };
    }

    private recordCall(traffic: ServiceTraffic): TraceRequest {
        const { random } = this;
        const reference = `${this.plan.name}-${this.nextCall++}`;
        return {
            at_ms: this.drawTime(traffic),
            workspace: this.pickWorkspace(traffic.workspaces).name,
            class: traffic.className,
            kind: "service",
            service: traffic.service,
            path: traffic.path,
            body: { reference, item: random.pick(traffic.items), quantity: random.integer(1, 20) },
            idempotency_key: reference,
        };
    }

    private pickWorkspace(names: readonly string[]): WorkspacePlan {
        const candidates = this.plan.workspaces.filter(({ name }) => names.length === 0 || names.includes(name));
        let left = this.random.next() * candidates.reduce((sum, { part }) => sum + part, 0);
        for (const candidate of candidates) {
            left -= candidate.part;
            if (left < 0) return candidate;
        }
        return candidates[candidates.length - 1];
    }

    /** A time from a triangular distribution: none at the start and the end, the most at the peak. */
    private drawTime({ startMs, peakMs, endMs }: TrafficPlan): number {
        const uniform = this.random.next();
        const rise = (peakMs - startMs) / (endMs - startMs);
        const time = uniform < rise
            ? startMs + Math.sqrt(uniform * (endMs - startMs) * (peakMs - startMs))
            : endMs - Math.sqrt((1 - uniform) * (endMs - startMs) * (endMs - peakMs));
        return Math.round(time);
    }
}

function unique(names: readonly string[]): string[] {
    return [...new Set(names)];
}
