import { CallEngineOptions, EnginePreemption, EngineRun } from "../../emulator/index.js";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { SeededRandom } from "../../ports/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";
import { RoutedFleet } from "../routedFleet/index.js";

/** Requests of one route. */
export interface PromptKind {
    readonly name: string;
    /** The route's tier; 0 is the most urgent. */
    readonly tier: number;
    readonly targetMs: number;
    /** Longest pause between two events that is on time, in milliseconds. */
    readonly gapMs: number;
    readonly timeoutMs: number;
    /** Tokens of the part that other prompts share, and of the prompt's own part. */
    readonly sharedTokens: number;
    readonly ownTokens: number;
    readonly answerTokens: number;
    /** Number of different shared parts. */
    readonly subjects: number;
    readonly perS: number;
}

/** A workspace whose callers send prompts. */
export interface PromptWorkspace {
    readonly name: string;
    /** Undefined: its calls have the tiers of their routes. */
    readonly tier: number | undefined;
    /** Its share of the prompts, relative to the others. */
    readonly weight: number;
}

/** A prompt, and what became of it. */
export interface PromptOutcome {
    readonly request: string;
    readonly kind: PromptKind;
    readonly workspace: PromptWorkspace;
    readonly entry: number;
    /** Monotonic time, in milliseconds. */
    readonly sentAt: number;
    readonly status: number;
    readonly isWhole: boolean;
    /** Whether it was refused because its host had no fresh document, against which its key could be checked. */
    readonly isViewStale: boolean;
    /** Time from its sending to its first event, in milliseconds; undefined if there was none. */
    readonly firstMs: number | undefined;
    /** Longest time between two events, in milliseconds. */
    readonly longestGapMs: number;
    /** `retry-after` of a refusal, in milliseconds. */
    readonly retryAfterMs: number | undefined;
}

/** Three kinds of prompts: short urgent ones with short pauses, and longer ones that are less urgent. */
export const PROMPT_KINDS: Readonly<Record<"question" | "summary" | "sheet", PromptKind>> = {
    question: {
        name: "question",
        tier: 0,
        targetMs: 400,
        gapMs: 250,
        timeoutMs: 6_000,
        sharedTokens: 200,
        ownTokens: 400,
        answerTokens: 80,
        subjects: 20,
        perS: 25,
    },
    summary: {
        name: "summary",
        tier: 1,
        targetMs: 600,
        gapMs: 400,
        timeoutMs: 4_000,
        sharedTokens: 1_500,
        ownTokens: 1_000,
        answerTokens: 30,
        subjects: 30,
        perS: 30,
    },
    sheet: {
        name: "sheet",
        tier: 2,
        targetMs: 1_500,
        gapMs: 1_000,
        timeoutMs: 8_000,
        sharedTokens: 4_000,
        ownTokens: 2_000,
        answerTokens: 60,
        subjects: 60,
        perS: 40,
    },
};

/** Engines whose memory runs out before their slots do when they run the longest prompts. */
export const SMALL_MEMORY_ENGINE: CallEngineOptions = {
    timing: {
        slots: 12,
        stepMs: 4,
        stepMsPerRequest: 0.1,
        prefillMsPerToken: 0.02,
        prefillTokensPerStep: 2_048,
        preemptsSlots: true,
        memoryTokens: 45_000,
    },
    queue: 30,
    eventTokens: 6,
};

const POOL = "ledger";
const MS_PER_SECOND = 1_000;
/** In the body of a refusal for lack of a fresh document. */
const STALE_VIEW_ERROR = "\"no-view\"";

/**
 * Sends prompts of several kinds and workspaces to a fleet at random times, and tells what became of each.
 *
 * @example
 * const load = new PromptLoad(fleet, new SeededRandom(1), kinds, workspaces);
 * await load.sendFor(5_000);
 * const outcomes = await load.finish();
 */
export class PromptLoad {
    private readonly pending: Promise<PromptOutcome>[] = [];

    constructor(
        private readonly fleet: RoutedFleet,
        private readonly random: SeededRandom,
        private readonly kinds: readonly PromptKind[],
        private readonly workspaces: readonly PromptWorkspace[],
    ) {}

    /** Makes the fleet document with a route for each kind. */
    static makeDocument(
        kinds: readonly PromptKind[],
        workspaces: readonly PromptWorkspace[],
        engine: CallEngineOptions,
    ): DraftDocument {
        const routes = kinds.map(({ name, tier, targetMs, gapMs, timeoutMs }) =>
            makeRoute({ name, pathPrefix: `/${name}/`, kind: "stream", tier, targetMs, gapMs, timeoutMs })
        );
        const kvTokens = engine.timing.memoryTokens ?? 1_000_000;
        const spec = { kvTokens, kvBytes: 1_000, tokensPerEvent: engine.eventTokens, pinMs: 0, canMove: false };
        return makeDocument({
            routes,
            pools: [{ pool: POOL, connections: 1_000, engine: spec }],
            workspaces: workspaces.map(({ name, tier }) => ({
                workspace: name,
                keys: [keyOf(name)],
                ...(tier === undefined ? {} : { tier }),
            })),
        });
    }

    /**
     * Sends prompts for a time.
     *
     * @param ms - Virtual time, in milliseconds.
     * @param factors - Factors on the rates of kinds, by name.
     */
    async sendFor(ms: number, factors: Readonly<Record<string, number>> = {}): Promise<void> {
        const rates = this.kinds.map(kind => ({ kind, perS: kind.perS * (factors[kind.name] ?? 1) }));
        const totalPerS = rates.reduce((sum, { perS }) => sum + perS, 0);
        const endsAt = this.fleet.clock.monotonic() + ms;
        while (this.fleet.clock.monotonic() < endsAt) {
            const { kind } = this.pickWeighted(rates, ({ perS }) => perS);
            this.pending.push(this.send(kind));
            await this.fleet.advance(this.random.between(0, 2 * MS_PER_SECOND / totalPerS));
        }
    }

    /** Waits until all prompts have ended. */
    finish(): Promise<PromptOutcome[]> {
        return this.fleet.run(Promise.all(this.pending), 60_000);
    }

    private async send(kind: PromptKind): Promise<PromptOutcome> {
        const { fleet, random } = this;
        const workspace = this.pickWeighted(this.workspaces, ({ weight }) => weight);
        const request = `${kind.name}-${this.pending.length}`;
        const live = [...fleet.entries.keys()].filter(number => fleet.entries[number]);
        const entry = random.pick(live);
        const subject = `${kind.name}-subject-${random.integer(0, kind.subjects)}`;
        const { sharedTokens, ownTokens, answerTokens } = kind;
        const sentAt = fleet.clock.monotonic();
        const reply = await fleet.startCall({
            entry,
            request,
            path: `/${kind.name}/${request}`,
            key: keyOf(workspace.name),
            body: request,
            headers: [
                [CALL_HEADERS.tokens, `${sharedTokens + ownTokens},${answerTokens}`],
                [CALL_HEADERS.parts, `${subject}:${sharedTokens},${request}:${ownTokens}`],
            ],
        });
        const retryAfter = reply.headers.find(([name]) => name === "retry-after")?.[1];
        const eventsAt = this.findRuns(request).flatMap(run => run.eventsAt);
        const gaps = eventsAt.slice(1).map((at, index) => at - eventsAt[index]);
        return {
            request,
            kind,
            workspace,
            entry,
            sentAt,
            status: reply.status,
            isWhole: reply.isWhole,
            isViewStale: reply.body.includes(STALE_VIEW_ERROR),
            firstMs: eventsAt.length === 0 ? undefined : eventsAt[0] - sentAt,
            longestGapMs: Math.max(0, ...gaps),
            retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * MS_PER_SECOND,
        };
    }

    private findRuns(request: string): EngineRun[] {
        return this.fleet.upstreams.flatMap(({ engineRuns }) => engineRuns.filter(run => run.request === request));
    }

    private pickWeighted<Item>(items: readonly Item[], weightOf: (item: Item) => number): Item {
        let left = this.random.next() * items.reduce((sum, item) => sum + weightOf(item), 0);
        return items.find(item => (left -= weightOf(item)) < 0) ?? items.at(-1)!;
    }
}

/** Whether a request is more urgent than another: by the rank of its workspace, and where that is equal by that of its route. */
function isMoreUrgent(a: PromptOutcome, b: PromptOutcome): boolean {
    const rankOf = ({ workspace, kind }: PromptOutcome): number => workspace.tier ?? kind.tier;
    return rankOf(a) < rankOf(b) || (rankOf(a) === rankOf(b) && a.kind.tier < b.kind.tier);
}

/** Returns the preemptions of requests beside which less urgent ones stayed at their engine. */
export function listInversions(fleet: RoutedFleet, outcomes: readonly PromptOutcome[]): EnginePreemption[] {
    const byRequest = new Map(outcomes.map(outcome => [outcome.request, outcome]));
    return fleet.upstreams.flatMap(({ preemptions }) => preemptions).filter(({ request, others }) => {
        const victim = byRequest.get(request)!;
        return others.some(other => isMoreUrgent(victim, byRequest.get(other)!));
    });
}

/** What became of the prompts of one kind. */
export interface KindSummary {
    readonly sent: number;
    /** Share of the prompts with a first event in time, and of those that were served whole without a pause too long. */
    readonly inTime: number;
    readonly onTime: number;
    readonly refused: number;
}

/** Sums up what became of the prompts of each kind, but for those whose host had no fresh document. */
export function summarizeKinds(all: readonly PromptOutcome[]): Record<string, KindSummary> {
    const outcomes = all.filter(({ isViewStale }) => !isViewStale);
    const names = [...new Set(outcomes.map(({ kind }) => kind.name))].sort();
    return Object.fromEntries(names.map(name => [name, summarize(outcomes.filter(({ kind }) => kind.name === name))]));
}

function summarize(outcomes: readonly PromptOutcome[]): KindSummary {
    const isInTime = ({ firstMs = Number.POSITIVE_INFINITY, kind }: PromptOutcome): boolean => firstMs <= kind.targetMs;
    const inTime = outcomes.filter(isInTime);
    const onTime = inTime.filter(({ isWhole, status, longestGapMs, kind }) =>
        isWhole && status === 200 && longestGapMs <= kind.gapMs
    );
    const sent = outcomes.length;
    const refused = outcomes.filter(({ status }) => status === 503).length;
    return { sent, inTime: inTime.length / sent, onTime: onTime.length / sent, refused };
}

function keyOf(workspace: string): string {
    return `${workspace}-key`;
}
