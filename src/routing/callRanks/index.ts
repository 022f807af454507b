import { FleetDocument } from "../fleetDocument/index.js";

/** The tiers that determine how urgent a call is. */
interface CallTiers {
    readonly workspaceTier: number;
    readonly routeTier: number;
}

/**
 * Ranks of the calls of one document by urgency: first by the tier of their workspace, then by that of their route. A call without a workspace
 * tier is ranked as if its workspace had the tier of its route.
 *
 * If the tier of a workspace replaced those of its routes, its most and least urgent calls would be equal to queues and upstreams, and a
 * question would wait behind a long report.
 *
 * @example
 * const ranks = new CallRanks(document);
 * ranks.find(2, 1); // the rank of calls of a workspace of tier 1 on a route of tier 2
 */
export class CallRanks {
    private readonly ranks = new Map<string, number>();

    constructor({ routes, workspaces }: Pick<FleetDocument, "routes" | "workspaces">) {
        const workspaceTiers = new Set((workspaces ?? []).flatMap(({ tier }) => tier ?? []));
        const tiers = [...new Set(routes.map(({ tier }) => tier))].flatMap(routeTier =>
            [routeTier, ...workspaceTiers].map(workspaceTier => ({ workspaceTier, routeTier }))
        );
        tiers.sort(compareTiers);
        for (const each of tiers) {
            const key = toKey(each);
            if (!this.ranks.has(key)) this.ranks.set(key, this.ranks.size);
        }
    }

    /** Number of ranks. */
    get count(): number {
        return this.ranks.size;
    }

    /**
     * Returns the rank of a call; 0 is the most urgent.
     *
     * @param routeTier - The tier of a route of the document.
     * @param workspaceTier - The tier of a workspace of the document; undefined where it has none.
     */
    find(routeTier: number, workspaceTier = routeTier): number {
        return this.ranks.get(toKey({ workspaceTier, routeTier })) ?? this.ranks.size;
    }
}

function compareTiers(a: CallTiers, b: CallTiers): number {
    return a.workspaceTier - b.workspaceTier || a.routeTier - b.routeTier;
}

function toKey({ workspaceTier, routeTier }: CallTiers): string {
    return `${workspaceTier} ${routeTier}`;
}
