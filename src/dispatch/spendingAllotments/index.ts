import { Either, Left, Right } from "purify-ts";
import { HostId, Incarnation, WindowStart, WorkspaceId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { ReserveCommand, ReserveResult } from "../../usage/index.js";

/** Why tokens were not granted. `unavailable`: the control log did not answer in time. */
export type SpendingRefusal = "over-limit" | "unavailable";

/** Sends a reservation to the control log and returns its result; undefined when there was none. */
export type Reserve = (command: ReserveCommand) => Promise<ReserveResult | undefined>;

/** Options of `SpendingAllotments`. */
export interface SpendingOptions {
    readonly clock: Clock;
    readonly host: HostId;
    readonly incarnation: Incarnation;
    /** Length of a usage window, in milliseconds. */
    readonly windowMs: number;
    readonly reserve: Reserve;
}

/** Tokens of one workspace reserved for this host in one usage window. */
interface Allotment {
    readonly window: WindowStart;
    /** Reserved tokens that have not been taken. */
    remaining: number;
    /** Rate at which tokens are taken, in tokens per millisecond, as an exponentially decaying average. */
    rate: number;
    /** Time of the last update of `rate`, in milliseconds since the epoch. */
    rateAt: number;
    /** The reservation in flight, if any. */
    asking?: Promise<boolean>;
    /** Whether the last reservation granted nothing. */
    isExhausted: boolean;
}

/** An allotment is sized to last this long at the current rate, in milliseconds. */
const ALLOTMENT_DURATION_MS = 5_000;
/** More tokens are reserved when less than this share of an allotment remains. */
const REFILL_RATIO = 0.5;
const MIN_ALLOTMENT_TOKENS = 2_000;
const RATE_DECAY_MS = 5_000;

/**
 * Grants a workspace's tokens from allotments that the control log has reserved for this host, so that the sum over all
 * hosts never exceeds the limit. The next allotment is reserved before the current one is used up, so that requests
 * need not wait for a round trip. Each request takes the maximum it could use and returns the rest when it ends.
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
     * @param workspace - A workspace with a limit.
     * @param tokens - Maximum number of tokens that the request can use.
     * @returns The window they were taken from, or why they were not granted.
     */
    async take(workspace: WorkspaceId, tokens: number): Promise<Either<SpendingRefusal, WindowStart>> {
        const allotment = this.currentAllotment(workspace);
        this.updateRate(allotment, tokens);
        while (allotment.remaining < tokens && !allotment.isExhausted) {
            const hasResult = await this.requestTokens(workspace, allotment, tokens - allotment.remaining);
            if (!hasResult && allotment.remaining < tokens) return Left("unavailable");
        }
        if (allotment.remaining < tokens) return Left("over-limit");
        allotment.remaining -= tokens;
        this.requestAhead(workspace, allotment);
        return Right(allotment.window);
    }

    /** Returns tokens that a request did not use. Those of a window that has ended are dropped. */
    giveBack(workspace: WorkspaceId, window: WindowStart, tokens: number): void {
        const allotment = this.allotments.get(workspace);
        if (allotment?.window === window) allotment.remaining += tokens;
    }

    private currentAllotment(workspace: WorkspaceId): Allotment {
        const now = this.options.clock.now();
        const window = (now - now % this.options.windowMs) as WindowStart;
        const existing = this.allotments.get(workspace);
        if (existing?.window === window) return existing;
        const fresh: Allotment = { window, remaining: 0, rate: 0, rateAt: now, isExhausted: false };
        this.allotments.set(workspace, fresh);
        return fresh;
    }

    private updateRate(allotment: Allotment, tokens: number): void {
        const now = this.options.clock.now();
        allotment.rate *= Math.exp((allotment.rateAt - now) / RATE_DECAY_MS);
        allotment.rate += tokens / RATE_DECAY_MS;
        allotment.rateAt = now;
    }

    private requestAhead(workspace: WorkspaceId, allotment: Allotment): void {
        const isLow = allotment.remaining < REFILL_RATIO * allotmentSize(allotment);
        if (isLow && !allotment.isExhausted) void this.requestTokens(workspace, allotment, 0);
    }

    /** Reserves tokens, with at most one reservation in flight; concurrent callers wait for the same result. */
    private requestTokens(workspace: WorkspaceId, allotment: Allotment, needed: number): Promise<boolean> {
        allotment.asking ??= this.reserve(workspace, allotment, needed).finally(() => {
            allotment.asking = undefined;
        });
        return allotment.asking;
    }

    private async reserve(workspace: WorkspaceId, allotment: Allotment, needed: number): Promise<boolean> {
        const { host, incarnation } = this.options;
        const tokens = Math.ceil(Math.max(needed, allotmentSize(allotment)));
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
        allotment.remaining += result.granted;
        allotment.isExhausted = result.granted === 0;
        return true;
    }
}

function allotmentSize(allotment: Allotment): number {
    return Math.max(MIN_ALLOTMENT_TOKENS, allotment.rate * ALLOTMENT_DURATION_MS);
}
