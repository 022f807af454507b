import type { ApplyContext } from "../../consensus/index.js";
import type { WindowStart, WorkspaceId } from "../../ids/index.js";
import type { ReserveCommand, ReserveResult } from "../usageCommands/index.js";

/** Answers remembered for each run of an entry, for resends, which come within seconds. */
const ANSWERS_KEPT = 128;
/** A run of an entry that has asked for nothing for this long is forgotten, in milliseconds. */
const RUN_RETENTION_MS = 3_600_000;
/** Windows further than this from the proposer's wall time are refused, in milliseconds. */
const WINDOW_REACH_MS = 32 * 24 * 3_600_000;

interface RememberedGrant {
    readonly sequence: number;
    readonly granted: number;
}

/** What one run of an entry asked for, as a snapshot keeps it. */
export interface SpendRun {
    readonly host: string;
    readonly incarnation: string;
    /** The most recent ones, in the order they were applied. */
    readonly grants: readonly RememberedGrant[];
    /** The highest number whose answer is no longer remembered. */
    readonly forgottenTo: number;
    readonly at: number;
}

/** Tokens of one workspace given out in one window. */
export interface Reservation {
    readonly window: WindowStart;
    readonly workspace: WorkspaceId;
    readonly tokens: number;
}

export interface SpendSnapshot {
    /** Nothing is granted in windows up to and with this one. */
    readonly closedTo: number;
    readonly runs: readonly SpendRun[];
    readonly reservations: readonly Reservation[];
}

interface RunState {
    readonly host: string;
    readonly incarnation: string;
    /** Tokens granted by sequence, in the order they were applied. */
    readonly grants: Map<number, number>;
    forgottenTo: number;
    at: number;
}

/**
 * Shares out each workspace's limit among the hosts, so that the sum over hosts never passes it. Tokens that a lost host
 * had taken stay taken until the window ends: too little is spent rather than too much.
 *
 * @example
 * const { granted } = book.reserve(command, limit, context);
 */
export class SpendBook {
    private readonly runs = new Map<string, RunState>();
    private readonly windows = new Map<WindowStart, Map<WorkspaceId, number>>();
    private closedTo = -1;

    /**
     * Takes tokens out of a limit.
     *
     * @param command - Who asks for how many.
     * @param limit - The workspace's limit for a window, in tokens; undefined for none.
     */
    reserve(command: ReserveCommand, limit: number | undefined, context: ApplyContext): ReserveResult {
        const run = this.findRun(command, context);
        const earlier = run.grants.get(command.sequence);
        if (earlier !== undefined) return { granted: earlier };
        // The answer to so old a question is gone. Granting nothing can't pass the limit; granting again could.
        if (command.sequence <= run.forgottenTo) return { granted: 0 };
        const granted = this.take(command, limit, context);
        run.grants.set(command.sequence, granted);
        this.touch(run, context);
        return { granted };
    }

    /** How many tokens are given out. */
    reserved(window: WindowStart, workspace: WorkspaceId): number {
        return this.windows.get(window)?.get(workspace) ?? 0;
    }

    /**
     * Ends windows up to and with this one, and forgets what was given out in them. Nothing more is granted there: with the sums
     * gone, a question that comes late would get the whole limit once more.
     */
    closeWindows(upTo: WindowStart): void {
        this.closedTo = Math.max(this.closedTo, upTo);
        for (const window of this.windows.keys()) {
            if (window <= upTo) this.windows.delete(window);
        }
    }

    snapshot(): SpendSnapshot {
        const reservations = [...this.windows].flatMap(([window, spent]) =>
            [...spent].map(([workspace, tokens]) => ({ window, workspace, tokens }))
        );
        return { closedTo: this.closedTo, runs: [...this.runs.values()].map(describeRun), reservations };
    }

    restore(snapshot: SpendSnapshot): void {
        this.runs.clear();
        this.windows.clear();
        this.closedTo = snapshot.closedTo ?? -1;
        for (const run of snapshot.runs) {
            const grants = new Map(run.grants.map(({ sequence, granted }) => [sequence, granted]));
            this.runs.set(nameRun(run), { ...run, grants });
        }
        for (const { window, workspace, tokens } of snapshot.reservations) {
            this.spentIn(window).set(workspace, tokens);
        }
    }

    private take(
        { workspace, window, tokens }: ReserveCommand,
        limit: number | undefined,
        context: ApplyContext,
    ): number {
        if (window <= this.closedTo || Math.abs(window - context.proposedAt) > WINDOW_REACH_MS) return 0;
        const spent = this.spentIn(window);
        const taken = spent.get(workspace) ?? 0;
        const granted = limit === undefined ? tokens : Math.max(0, Math.min(tokens, limit - taken));
        if (granted > 0) spent.set(workspace, taken + granted);
        return granted;
    }

    private spentIn(window: WindowStart): Map<WorkspaceId, number> {
        const spent = this.windows.get(window) ?? new Map<WorkspaceId, number>();
        this.windows.set(window, spent);
        return spent;
    }

    private findRun({ host, incarnation }: ReserveCommand, context: ApplyContext): RunState {
        const known = this.runs.get(nameRun({ host, incarnation }));
        return known ?? { host, incarnation, grants: new Map(), forgottenTo: 0, at: context.proposedAt };
    }

    /** Lets go of the run's oldest answers, and of runs that have asked for nothing for long. */
    private touch(run: RunState, context: ApplyContext): void {
        for (const sequence of run.grants.keys()) {
            if (run.grants.size <= ANSWERS_KEPT) break;
            run.grants.delete(sequence);
            run.forgottenTo = Math.max(run.forgottenTo, sequence);
        }
        run.at = context.proposedAt;
        const name = nameRun(run);
        // Set again, so that the map stays in the order of last use.
        this.runs.delete(name);
        this.runs.set(name, run);
        for (const [oldest, { at }] of this.runs) {
            if (context.proposedAt - at <= RUN_RETENTION_MS) return;
            this.runs.delete(oldest);
        }
    }
}

function describeRun({ host, incarnation, grants, forgottenTo, at }: RunState): SpendRun {
    const remembered = [...grants].map(([sequence, granted]) => ({ sequence, granted }));
    return { host, incarnation, grants: remembered, forgottenTo, at };
}

function nameRun({ host, incarnation }: { host: string; incarnation: string; }): string {
    return `${host} ${incarnation}`;
}
