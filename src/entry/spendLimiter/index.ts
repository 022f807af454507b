import { Either, Right } from "purify-ts";
import { SpendingAllotments, SpendingRefusal } from "../../dispatch/index.js";
import { WindowStart } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { ReserveCommand, ReserveResult } from "../../usage/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { WorkspaceView } from "../../workspace/index.js";
import { CallerError } from "../callerError/index.js";
import { ControlAccess } from "../controlAccess/index.js";

/** Tokens reserved for a request from its workspace's limit. */
export interface TokenReservation {
    /** Usage window of the reservation; undefined: the workspace has no limit. */
    readonly window: WindowStart | undefined;
    readonly tokens: number;
}

/** Options of `SpendLimiter`. */
export interface SpendLimiterOptions {
    readonly clock: Clock;
    readonly self: PeerIdentity;
    /** Length of a usage window, in milliseconds. */
    readonly windowMs: number;
    readonly control: ControlAccess;
}

const RESERVE_TIMEOUT_MS = 2_000;
const RETRY_AFTER_MS = 1_000;
const UNLIMITED: TokenReservation = { window: undefined, tokens: 0 };

/**
 * Enforces workspaces' token limits per usage window, using allotments that the control log assigns to this host.
 *
 * @example
 * const reservation = await limiter.reserve(workspace, 1_024);
 */
export class SpendLimiter {
    private readonly allotments: SpendingAllotments;

    constructor(private readonly options: SpendLimiterOptions) {
        const { clock, self, windowMs } = options;
        this.allotments = new SpendingAllotments({
            clock,
            ...self,
            windowMs,
            reserve: command => this.reserveAllotment(command),
        });
    }

    /**
     * Reserves tokens for a request.
     *
     * @param workspace - Workspace whose limit applies.
     * @param tokens - Prompt tokens plus the maximum number of answer tokens.
     */
    async reserve(workspace: WorkspaceView, tokens: number): Promise<Either<CallerError, TokenReservation>> {
        if (workspace.tokenLimit === undefined) return Right(UNLIMITED);
        const reserved = await this.allotments.take(workspace.id, tokens);
        return reserved.bimap(refusal => this.describeRefusal(refusal), window => ({ window, tokens }));
    }

    /**
     * Returns the unused part of a reservation.
     *
     * @param used - Number of tokens that the workspace is billed for.
     */
    settle(workspace: WorkspaceView, reservation: TokenReservation, used: number): void {
        if (reservation.window === undefined) return;
        this.allotments.giveBack(workspace.id, reservation.window, Math.max(0, reservation.tokens - used));
    }

    private async reserveAllotment(command: ReserveCommand): Promise<ReserveResult | undefined> {
        const result = await this.options.control.command(command, RESERVE_TIMEOUT_MS);
        return result.toMaybe().extract() as ReserveResult | undefined;
    }

    private describeRefusal(refusal: SpendingRefusal): CallerError {
        if (refusal === "unavailable") {
            return new CallerError(
                503,
                "control-unreachable",
                "the limit could not be asked for",
                "not-run",
                RETRY_AFTER_MS,
            );
        }
        const { clock, windowMs } = this.options;
        const untilNextWindow = windowMs - clock.now() % windowMs;
        const message = "the workspace has used up its limit for this window";
        return new CallerError(429, "over-limit", message, "not-run", untilNextWindow);
    }
}
