import { Either, Left, Right } from "purify-ts";
import { ProposeError, ReplicatedLog } from "../../consensus/index.js";
import { Revision } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { PeerRouter } from "../../wire/index.js";
import { ControlService } from "../controlService/index.js";

/** Timeout of a change forwarded to the holder, in milliseconds: an operator's client tries the next host after a second. */
const HOLDER_TIMEOUT_MS = 900;
/** Timeout of a commit, after which its outcome is reported as unknown, in milliseconds. */
const COMMIT_TIMEOUT_MS = 700;
/**
 * How long an acknowledgement waits for the entry processes, in milliseconds. Reachable ones have the change within a few milliseconds; for a
 * partitioned one, its freshness lease limits how long it uses the old view.
 */
const IN_FORCE_WAIT_MS = 400;

/** The change is not confirmed and may or may not have been committed; the same change can be resent to any control host. */
export class ChangeUnavailableError extends Error {}

/** Options of `DurableChange`. */
export interface DurableChangeOptions {
    readonly log: Pick<ReplicatedLog, "holdsLease" | "propose" | "callLeader" | "committedConfiguration">;
    readonly service: Pick<ControlService, "awaitInForce">;
    readonly router: PeerRouter;
    readonly clock: Clock;
    /** Changes are refused until the log has at least this many voters. */
    readonly minVoters: number;
}

/** A kind of change. */
export interface DurableChangeKind<Command, Result> {
    /** Peer method by which other control processes forward a change to the holder. */
    readonly method: string;
    /**
     * Returns the result of a change that the current state makes unnecessary, so that it needs no log entry. Undefined: every change goes
     * through the log, after the entries that are not committed yet.
     */
    readonly findKnownResult?: (command: Command) => Result | undefined;
}

/**
 * Submits changes of the fleet's configuration from any control process. The holder commits each change and waits until the entry
 * processes have it.
 *
 * Prevents the loss of an acknowledged change when several hosts lose their disks right after the acknowledgement: until the cluster
 * has all its voters, those hosts could be a majority, so nothing is acknowledged before.
 *
 * @example
 * const submitter = new DurableChange(options, { method: "control.document", findKnownResult });
 * const outcome = await submitter.submit(command);
 */
export class DurableChange<Command, Result extends { readonly revision: Revision; }> {
    constructor(
        private readonly options: DurableChangeOptions,
        private readonly kind: DurableChangeKind<Command, Result>,
    ) {
        options.router.add(kind.method, body => this.submitLocally(body as Command));
    }

    /**
     * Submits a change and waits for its commit.
     *
     * @returns The result once the change is committed; an error when it is not known to be.
     */
    async submit(command: Command): Promise<Either<ChangeUnavailableError, Result>> {
        try {
            const isHolder = this.options.log.holdsLease();
            return Right(isHolder ? await this.submitLocally(command) : await this.forwardToHolder(command));
        }
        catch (err) {
            return Left(new ChangeUnavailableError((err as Error).message));
        }
    }

    private async forwardToHolder(command: Command): Promise<Result> {
        const answer = await this.options.log.callLeader(this.kind.method, command, HOLDER_TIMEOUT_MS);
        if (answer.isLeft()) throw answer.extract();
        return answer.unsafeCoerce() as Result;
    }

    private async submitLocally(command: Command): Promise<Result> {
        const { log, service, minVoters } = this.options;
        const voters = log.committedConfiguration().members.filter(({ role }) => role === "voter").length;
        if (voters < minVoters) throw new Error(`${voters} of ${minVoters} voters keep the log so far`);
        const known = log.holdsLease() ? this.kind.findKnownResult?.(command) : undefined;
        const result = known ?? await this.commit(command);
        await service.awaitInForce(result.revision, IN_FORCE_WAIT_MS);
        return result;
    }

    private async commit(command: Command): Promise<Result> {
        const { log, clock } = this.options;
        const timer = new AbortController();
        const timedOut = clock.sleep(COMMIT_TIMEOUT_MS, timer.signal).then(() =>
            Left(new ProposeError("lost", true, undefined)) as Either<ProposeError, unknown>
        );
        const proposed = await Promise.race([log.propose(command), timedOut]);
        timer.abort();
        if (proposed.isLeft()) throw proposed.extract();
        return proposed.unsafeCoerce() as Result;
    }
}
