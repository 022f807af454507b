import type { ApplyContext } from "../../consensus/index.js";
import type { WindowStart, WorkspaceId } from "../../ids/index.js";
import type { ReserveCommand, ReserveResult } from "../usageCommands/index.js";

/** Results kept for each run of an entry, to answer resends, which arrive within seconds. */
const MAX_ANSWERS_PER_RUN = 128;
/** A run of an entry is dropped when its last reservation is this old. */
const RUN_RETENTION_MS = 3_600_000;
/** Reservations in windows further than this from the proposer's wall time are granted nothing. */
const MAX_WINDOW_DISTANCE_MS = 32 * 24 * 3_600_000;

/** The result of one reservation, kept for resends. */
interface RememberedGrant {
    readonly sequence: number;
    readonly granted: number;
}

/** The reservations of one run of an entry, as stored in a snapshot. */
export interface SpendRun {
    readonly host: string;
    readonly incarnation: string;
    /** The most recent results, in the order in which they were applied. */
    readonly grants: readonly RememberedGrant[];
    /** Highest sequence number whose result is no longer kept. */
    readonly forgottenTo: number;
    /** Wall time of the last reservation, in milliseconds since the epoch. */
    readonly at: number;
}

/** Tokens granted to one workspace in one window, over all hosts. */
export interface Reservation {
    readonly window: WindowStart;
    readonly workspace: WorkspaceId;
    readonly tokens: number;
}

/** State of the granted tokens in a snapshot of the control log. */
export interface SpendSnapshot {
    /** Start of the last closed window: nothing is granted in it or in earlier ones. */
    readonly closedTo: number;
    readonly runs: readonly SpendRun[];
    readonly reservations: readonly Reservation[];
}

interface RunState {
    readonly host: string;
    readonly incarnation: string;
    /** Tokens granted, by sequence number, in the order in which they were applied. */
    readonly grants: Map<number, number>;
    forgottenTo: number;
    at: number;
}

/**
 * Divides each workspace's token limit for a window among the hosts, so that the sum of their grants never exceeds it. Tokens granted
 * to a host that is lost stay granted until the window ends: spending too little is preferred to spending too much.
 *
 * @example
 * const { granted } = ledger.reserve(command, limit, context);
 */
export class SpendLedger {
    private readonly runs = new Map<string, RunState>();
    /** Tokens granted, by window and workspace. */
    private readonly windows = new Map<WindowStart, Map<WorkspaceId, number>>();
    private closedTo = -1;

    /**
     * Grants tokens of a workspace's limit to a host.
     *
     * @param command - The host's request.
     * @param limit - The workspace's limit for a window, in tokens; undefined for no limit.
     */
    reserve(command: ReserveCommand, limit: number | undefined, context: ApplyContext): ReserveResult {
        const run = this.findRun(command, context);
        const earlier = run.grants.get(command.sequence);
        if (earlier !== undefined) return { granted: earlier };
        // The result of such an old request is no longer kept. Granting again could exceed the limit; granting nothing can't.
        if (command.sequence <= run.forgottenTo) return { granted: 0 };
        const granted = this.grantTokens(command, limit, context);
        run.grants.set(command.sequence, granted);
        this.recordUse(run, context);
        return { granted };
    }

    /** Returns the tokens granted to a workspace in a window, over all hosts. */
    reserved(window: WindowStart, workspace: WorkspaceId): number {
        return this.windows.get(window)?.get(workspace) ?? 0;
    }

    /**
     * Closes the windows up to and including this one, and drops their sums. Nothing more is granted in them: without the sums, a late
     * request would get the whole limit again.
     */
    closeWindows(upTo: WindowStart): void {
        this.closedTo = Math.max(this.closedTo, upTo);
        for (const window of this.windows.keys()) {
            if (window <= upTo) this.windows.delete(window);
        }
    }

    snapshot(): SpendSnapshot {
        const reservations = [...this.windows].flatMap(([window, byWorkspace]) =>
            [...byWorkspace].map(([workspace, tokens]) => ({ window, workspace, tokens }))
        );
        return { closedTo: this.closedTo, runs: [...this.runs.values()].map(toSpendRun), reservations };
    }

    restore(snapshot: SpendSnapshot): void {
        this.runs.clear();
        this.windows.clear();
        this.closedTo = snapshot.closedTo ?? -1;
        for (const run of snapshot.runs) {
            const grants = new Map(run.grants.map(({ sequence, granted }) => [sequence, granted]));
            this.runs.set(runKey(run), { ...run, grants });
        }
        for (const { window, workspace, tokens } of snapshot.reservations) {
            this.grantedInWindow(window).set(workspace, tokens);
        }
    }

    private grantTokens(
        { workspace, window, tokens }: ReserveCommand,
        limit: number | undefined,
        context: ApplyContext,
    ): number {
        if (window <= this.closedTo || Math.abs(window - context.proposedAt) > MAX_WINDOW_DISTANCE_MS) return 0;
        const byWorkspace = this.grantedInWindow(window);
        const alreadyGranted = byWorkspace.get(workspace) ?? 0;
        const granted = limit === undefined ? tokens : Math.max(0, Math.min(tokens, limit - alreadyGranted));
        if (granted > 0) byWorkspace.set(workspace, alreadyGranted + granted);
        return granted;
    }

    private grantedInWindow(window: WindowStart): Map<WorkspaceId, number> {
        const byWorkspace = this.windows.get(window) ?? new Map<WorkspaceId, number>();
        this.windows.set(window, byWorkspace);
        return byWorkspace;
    }

    private findRun({ host, incarnation }: ReserveCommand, context: ApplyContext): RunState {
        const known = this.runs.get(runKey({ host, incarnation }));
        return known ?? { host, incarnation, grants: new Map(), forgottenTo: 0, at: context.proposedAt };
    }

    /** Marks a run as the most recently used, and drops its oldest results and the runs past their retention. */
    private recordUse(run: RunState, context: ApplyContext): void {
        for (const sequence of run.grants.keys()) {
            if (run.grants.size <= MAX_ANSWERS_PER_RUN) break;
            run.grants.delete(sequence);
            run.forgottenTo = Math.max(run.forgottenTo, sequence);
        }
        run.at = context.proposedAt;
        const name = runKey(run);
        // Deleted and set again to keep the map in the order of last use.
        this.runs.delete(name);
        this.runs.set(name, run);
        for (const [oldest, { at }] of this.runs) {
            if (context.proposedAt - at <= RUN_RETENTION_MS) return;
            this.runs.delete(oldest);
        }
    }
}

function toSpendRun({ host, incarnation, grants, forgottenTo, at }: RunState): SpendRun {
    const remembered = [...grants].map(([sequence, granted]) => ({ sequence, granted }));
    return { host, incarnation, grants: remembered, forgottenTo, at };
}

function runKey({ host, incarnation }: { host: string; incarnation: string; }): string {
    return `${host} ${incarnation}`;
}
