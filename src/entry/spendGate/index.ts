import { Either, Right } from "purify-ts";
import { SpendingAllotments, SpendingRefusal } from "../../dispatch/index.js";
import { WindowStart } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { ReserveCommand, ReserveResult } from "../../usage/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { WorkspaceView } from "../../workspace/index.js";
import { CallerError } from "../callerError/index.js";
import { ControlAccess } from "../controlAccess/index.js";

/** What a request has taken of its workspace's limit. */
export interface SpendReceipt {
    /** Undefined: the workspace has no limit. */
    readonly window: WindowStart | undefined;
    readonly tokens: number;
}

/** What a gate is made of. */
export interface SpendGateOptions {
    readonly clock: Clock;
    readonly self: PeerIdentity;
    readonly windowMs: number;
    readonly control: ControlAccess;
}

const RESERVE_MS = 2_000;
const RETRY_SOON_MS = 1_000;
const NO_LIMIT: SpendReceipt = { window: undefined, tokens: 0 };

/**
 * Says whether a workspace may still spend tokens in the present usage window, from allotments that the control log
 * gives to this host.
 *
 * @example
 * const receipt = await gate.take(workspace, 1_024);
 */
export class SpendGate {
    private readonly allotments: SpendingAllotments;

    constructor(private readonly options: SpendGateOptions) {
        const { clock, self, windowMs } = options;
        this.allotments = new SpendingAllotments({
            clock,
            ...self,
            windowMs,
            reserve: command => this.reserve(command),
        });
    }

    /**
     * Takes tokens for a request.
     *
     * @param workspace - Whose limit counts.
     * @param tokens - Prompt tokens and the most that the answer may have.
     */
    async take(workspace: WorkspaceView, tokens: number): Promise<Either<CallerError, SpendReceipt>> {
        if (workspace.tokenLimit === undefined) return Right(NO_LIMIT);
        const taken = await this.allotments.take(workspace.id, tokens);
        return taken.bimap(refusal => this.describeRefusal(refusal), window => ({ window, tokens }));
    }

    /**
     * Gives back what a request did not use.
     *
     * @param used - Tokens that the workspace is billed for.
     */
    settle(workspace: WorkspaceView, receipt: SpendReceipt, used: number): void {
        if (receipt.window === undefined) return;
        this.allotments.giveBack(workspace.id, receipt.window, Math.max(0, receipt.tokens - used));
    }

    private async reserve(command: ReserveCommand): Promise<ReserveResult | undefined> {
        const result = await this.options.control.command(command, RESERVE_MS);
        return result.toMaybe().extract() as ReserveResult | undefined;
    }

    private describeRefusal(refusal: SpendingRefusal): CallerError {
        if (refusal === "unavailable") {
            return new CallerError(
                503,
                "control-unreachable",
                "the limit could not be asked for",
                "not-run",
                RETRY_SOON_MS,
            );
        }
        const { clock, windowMs } = this.options;
        const untilNextWindow = windowMs - clock.now() % windowMs;
        const message = "the workspace has used up its limit for this window";
        return new CallerError(429, "over-limit", message, "not-run", untilNextWindow);
    }
}
