import { Either, Left, Right } from "purify-ts";
import { ProposeError, ReplicatedLog } from "../../consensus/index.js";
import { Revision } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { PeerRouter } from "../../wire/index.js";
import { ControlService } from "../controlService/index.js";

/** How long the holder may take, in milliseconds: an operator's client turns to the next host after a second. */
const HOLDER_MS = 900;
/** How long a commit may take before its outcome counts as unknown, in milliseconds. */
const COMMIT_MS = 700;
/**
 * How long an acknowledgement waits for entries, in milliseconds. Those that can be reached have the change within a few
 * milliseconds; one that is cut off is bound by its freshness lease.
 */
const IN_FORCE_MS = 400;

/** A change that could not be taken for sure now; the same one may be sent again, here or at another host. */
export class ChangeUnavailableError extends Error {}

/** What changes are made through. */
export interface DurableChangeOptions {
    readonly log: Pick<ReplicatedLog, "holdsLease" | "propose" | "askHolder" | "committedConfiguration">;
    readonly service: Pick<ControlService, "awaitInForce">;
    readonly router: PeerRouter;
    readonly clock: Clock;
    /** No change is taken before so many voters keep the log. */
    readonly leastVoters: number;
}

/** One kind of change. */
export interface DurableChangeKind<Command, Result> {
    /** The method by which other control processes hand a change to the holder. */
    readonly method: string;
    /**
     * The result of a change that the state of now makes needless, so that it costs no entry of the log; undefined: each change goes
     * through the log, behind those that are not committed yet.
     */
    readonly findSettled?: (command: Command) => Result | undefined;
}

/**
 * Makes changes of the fleet's configuration from any control process: the holder commits them and waits until entries have them.
 *
 * Guards against an acknowledged change that is lost: several hosts may lose their disks in the moment after. Before the cluster
 * has all its voters, a majority of them could be just those hosts, so nothing is acknowledged until it has.
 *
 * @example
 * const change = new DurableChange(options, { method: "control.document", findSettled });
 * const outcome = await change.make(command);
 */
export class DurableChange<Command, Result extends { readonly revision: Revision; }> {
    constructor(
        private readonly options: DurableChangeOptions,
        private readonly kind: DurableChangeKind<Command, Result>,
    ) {
        options.router.add(kind.method, body => this.makeHere(body as Command));
    }

    /**
     * Makes a change.
     *
     * @returns Once it is committed; on the left, when that is not known.
     */
    async make(command: Command): Promise<Either<ChangeUnavailableError, Result>> {
        try {
            const isHolder = this.options.log.holdsLease();
            return Right(isHolder ? await this.makeHere(command) : await this.askHolder(command));
        }
        catch (err) {
            return Left(new ChangeUnavailableError((err as Error).message));
        }
    }

    private async askHolder(command: Command): Promise<Result> {
        const answer = await this.options.log.askHolder(this.kind.method, command, HOLDER_MS);
        if (answer.isLeft()) throw answer.extract();
        return answer.unsafeCoerce() as Result;
    }

    private async makeHere(command: Command): Promise<Result> {
        const { log, service, leastVoters } = this.options;
        const voters = log.committedConfiguration().members.filter(({ role }) => role === "voter").length;
        if (voters < leastVoters) throw new Error(`${voters} of ${leastVoters} voters keep the log so far`);
        const settled = log.holdsLease() ? this.kind.findSettled?.(command) : undefined;
        const result = settled ?? await this.commit(command);
        await service.awaitInForce(result.revision, IN_FORCE_MS);
        return result;
    }

    private async commit(command: Command): Promise<Result> {
        const { log, clock } = this.options;
        const limit = new AbortController();
        const tooLate = clock.sleep(COMMIT_MS, limit.signal).then(() =>
            Left(new ProposeError("lost", true, undefined)) as Either<ProposeError, unknown>
        );
        const proposed = await Promise.race([log.propose(command), tooLate]);
        limit.abort();
        if (proposed.isLeft()) throw proposed.extract();
        return proposed.unsafeCoerce() as Result;
    }
}
