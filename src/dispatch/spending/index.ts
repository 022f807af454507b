import { Either, Left, Right } from "purify-ts";
import { HostId, Incarnation, WindowStart, WorkspaceId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { ReserveCommand, ReserveResult } from "../../usage/index.js";

/** Why tokens were not handed out. `unavailable`: the control log gave no answer in time. */
export type SpendingRefusal = "over-limit" | "unavailable";

/** Sends a reservation to the control log and gives its answer; undefined when there was none. */
export type Reserve = (command: ReserveCommand) => Promise<ReserveResult | undefined>;

/** What an entry's allotments work with. */
export interface SpendingOptions {
    readonly clock: Clock;
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly windowMs: number;
    readonly reserve: Reserve;
}

interface Allotment {
    readonly window: WindowStart;
    left: number;
    /** Tokens handed out in the current second, smoothed. */
    rate: number;
    rateAt: number;
    asking?: Promise<boolean>;
    isExhausted: boolean;
}

/** An allotment lasts about this long at the pace of spending, in milliseconds. */
const ALLOTMENT_MS = 5_000;
/** More is asked for when less than this share of an allotment is left. */
const LOW_SHARE = 0.5;
const LEAST_ALLOTMENT = 2_000;
const RATE_MEMORY_MS = 5_000;

/**
 * Hands out a workspace's tokens from allotments that the control log has reserved for this host, so that the sum over
 * all hosts never passes the limit and no request waits for a round trip: the next allotment is asked for ahead of
 * need. Each request takes the most it could use and gives back the rest when it ends.
 *
 * @example
 * const taken = await spending.take(workspace, 612);
 * spending.giveBack(workspace, window, 200);
 */
export class SpendingAllotments {
    private readonly allotments = new Map<WorkspaceId, Allotment>();
    private sequence = 0;

    constructor(private readonly options: SpendingOptions) {}

    /**
     * Takes tokens before a request is sent.
     *
     * @param workspace - One with a limit.
     * @param tokens - The most that the request can use.
     * @returns The window they were taken from, or why not.
     */
    async take(workspace: WorkspaceId, tokens: number): Promise<Either<SpendingRefusal, WindowStart>> {
        const allotment = this.find(workspace);
        this.countSpending(allotment, tokens);
        while (allotment.left < tokens && !allotment.isExhausted) {
            const wasAnswered = await this.ask(workspace, allotment, tokens - allotment.left);
            if (!wasAnswered && allotment.left < tokens) return Left("unavailable");
        }
        if (allotment.left < tokens) return Left("over-limit");
        allotment.left -= tokens;
        this.askAhead(workspace, allotment);
        return Right(allotment.window);
    }

    /** Gives back what a request did not use. What belongs to a window that has ended is dropped. */
    giveBack(workspace: WorkspaceId, window: WindowStart, tokens: number): void {
        const allotment = this.allotments.get(workspace);
        if (allotment?.window === window) allotment.left += tokens;
    }

    private find(workspace: WorkspaceId): Allotment {
        const now = this.options.clock.now();
        const window = (now - now % this.options.windowMs) as WindowStart;
        const known = this.allotments.get(workspace);
        if (known?.window === window) return known;
        const fresh: Allotment = { window, left: 0, rate: 0, rateAt: now, isExhausted: false };
        this.allotments.set(workspace, fresh);
        return fresh;
    }

    private countSpending(allotment: Allotment, tokens: number): void {
        const now = this.options.clock.now();
        allotment.rate *= Math.exp((allotment.rateAt - now) / RATE_MEMORY_MS);
        allotment.rate += tokens / RATE_MEMORY_MS;
        allotment.rateAt = now;
    }

    private askAhead(workspace: WorkspaceId, allotment: Allotment): void {
        const isLow = allotment.left < LOW_SHARE * sizeFor(allotment);
        if (isLow && !allotment.isExhausted) void this.ask(workspace, allotment, 0);
    }

    /** Asks once at a time; further requests wait for the same answer. */
    private ask(workspace: WorkspaceId, allotment: Allotment, needed: number): Promise<boolean> {
        allotment.asking ??= this.reserve(workspace, allotment, needed).finally(() => {
            allotment.asking = undefined;
        });
        return allotment.asking;
    }

    private async reserve(workspace: WorkspaceId, allotment: Allotment, needed: number): Promise<boolean> {
        const { host, incarnation } = this.options;
        const tokens = Math.ceil(Math.max(needed, sizeFor(allotment)));
        const result = await this.options.reserve({
            kind: "spend.reserve",
            workspace,
            window: allotment.window,
            host,
            incarnation,
            sequence: ++this.sequence,
            tokens,
        });
        if (!result) return false;
        allotment.left += result.granted;
        allotment.isExhausted = result.granted === 0;
        return true;
    }
}

function sizeFor(allotment: Allotment): number {
    return Math.max(LEAST_ALLOTMENT, allotment.rate * ALLOTMENT_MS);
}
