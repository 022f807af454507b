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

/** A workspace and its share of the traffic. */
export interface WorkspacePlan extends TraceWorkspace {
    /** Relative share of the requests, as a weight among all workspaces. */
    readonly part: number;
    /** System prompt that opens the workspace's prompts; long enough to make prefix caching worthwhile. */
    readonly system: string;
}

/** Requests of one class in a period of time, with a peak of the rate within it. */
interface TrafficPlan {
    readonly className: string;
    readonly count: number;
    readonly startMs: number;
    readonly peakMs: number;
    readonly endMs: number;
    /** Names of the workspaces that send the requests; empty means all. */
    readonly workspaces: readonly string[];
}

/** Traffic of chat requests. */
export interface ChatTraffic extends TrafficPlan {
    readonly kind: "chat";
    readonly model: string;
    /** Prompt texts; each `#` is replaced by a random number. */
    readonly prompts: readonly string[];
    /** Minimum number of tokens of an answer. */
    readonly leastTokens: number;
    /** Maximum number of tokens of an answer. */
    readonly mostTokens: number;
    /** Share of requests for a single JSON answer instead of a stream, from 0 to 1. */
    readonly wholeShare: number;
    /** Share of callers that disconnect early, from 0 to 1. */
    readonly leavingShare: number;
}

/** Traffic of calls to a plain service, which is not a language-model engine. */
export interface ServiceTraffic extends TrafficPlan {
    readonly kind: "service";
    readonly service: string;
    readonly path: string;
    /** Names of items; the body of each call contains one of them. */
    readonly items: readonly string[];
}

/** A fault and the time at which it is injected. */
export interface FaultPlan {
    readonly atMs: number;
    readonly action: ControlAction;
}

/** Parameters from which a trace is generated. */
export interface TracePlan {
    readonly name: string;
    readonly zones: readonly string[];
    readonly classes: readonly TraceClass[];
    readonly workspaces: readonly WorkspacePlan[];
    readonly traffic: readonly (ChatTraffic | ServiceTraffic)[];
    readonly bounds: TraceBounds;
    /** Injected faults; the trace orders them by time. */
    readonly faults: readonly FaultPlan[];
    /** Emulator settings, by name in camelCase of the emulator's flag. */
    readonly emulator: Readonly<Record<string, string | number | boolean>>;
}

const PROMPT_NUMBER_LIMIT = 1_000;
const MAX_TOKENS_MARGIN = 16;
const MIN_LEAVE_AFTER_MS = 100;
const MAX_LEAVE_AFTER_MS = 600;

/**
 * Generates a trace from a plan.
 *
 * @param plan - Parameters of the trace.
 * @param random - Seeded random source, so that the trace is reproducible.
 * @returns The trace, with requests and faults in the order of time.
 * @example
 * generateTrace(UTILITY_MORNING, new SeededRandom(1));
 */
export function generateTrace(plan: TracePlan, random: Random): Trace {
    const generator = new TraceGenerator(plan, random);
    const requests = plan.traffic.flatMap(traffic => generator.generateRequests(traffic));
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

class TraceGenerator {
    private nextCallNumber = 1;

    constructor(private readonly plan: TracePlan, private readonly random: Random) {}

    generateRequests(traffic: ChatTraffic | ServiceTraffic): TraceRequest[] {
        const generate = (): TraceRequest =>
            traffic.kind === "chat" ? this.generateChat(traffic) : this.generateCall(traffic);
        return Array.from({ length: traffic.count }, generate);
    }

    private generateChat(traffic: ChatTraffic): TraceRequest {
        const { random } = this;
        const workspace = this.pickWorkspace(traffic.workspaces);
        const tokens = random.integer(traffic.leastTokens, traffic.mostTokens + 1);
        const text = random.pick(traffic.prompts).replace(/#/g, () => String(random.integer(1, PROMPT_NUMBER_LIMIT)));
        const leavesEarly = random.next() < traffic.leavingShare;
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
            max_tokens: traffic.mostTokens + MAX_TOKENS_MARGIN,
            tokens,
            stream: random.next() >= traffic.wholeShare,
            ...(leavesEarly ? { leave_after_ms: random.integer(MIN_LEAVE_AFTER_MS, MAX_LEAVE_AFTER_MS) } : {}),
        };
    }

    private generateCall(traffic: ServiceTraffic): TraceRequest {
        const { random } = this;
        const reference = `${this.plan.name}-${this.nextCallNumber++}`;
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
        let remaining = this.random.next() * candidates.reduce((sum, { part }) => sum + part, 0);
        for (const candidate of candidates) {
            remaining -= candidate.part;
            if (remaining < 0) return candidate;
        }
        return candidates[candidates.length - 1];
    }

    /** Draws a time from a triangular distribution, whose density is zero at start and end and maximal at the peak. */
    private drawTime({ startMs, peakMs, endMs }: TrafficPlan): number {
        const uniform = this.random.next();
        const peakPosition = (peakMs - startMs) / (endMs - startMs);
        const time = uniform < peakPosition
            ? startMs + Math.sqrt(uniform * (endMs - startMs) * (peakMs - startMs))
            : endMs - Math.sqrt((1 - uniform) * (endMs - startMs) * (endMs - peakMs));
        return Math.round(time);
    }
}

function unique(names: readonly string[]): string[] {
    return [...new Set(names)];
}
