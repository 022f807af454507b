import { Either, Left, Right } from "purify-ts";
import { ProposeError, ReplicatedLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { HeldDocument, ReplaceDocumentCommand, ReplaceDocumentResult } from "../../routing/index.js";
import { PeerRouter } from "../../wire/index.js";
import { ControlService } from "../controlService/index.js";
import { ControlState } from "../state/index.js";

/** Hands a document to the holder; the body is a `ReplaceDocumentCommand`. */
const REPLACE_METHOD = "control.document";
/** How long the holder may take, in milliseconds: an operator's client turns to the next host after a second. */
const HOLDER_MS = 900;
/** How long a commit may take before its outcome counts as unknown, in milliseconds. */
const COMMIT_MS = 700;
/**
 * How long an acknowledgement waits for entries, in milliseconds. Those that can be reached have the document within a few
 * milliseconds; one that is cut off is bound by its freshness lease.
 */
const IN_FORCE_MS = 400;
/** How long a read may take, in milliseconds. */
const READ_MS = 700;

/** A document that could not be taken or read for sure now; the same call may be made again, here or at another host. */
export class DocumentUnavailableError extends Error {}

/** What the desk works with. */
export interface DocumentDeskOptions {
    readonly log: Pick<
        ReplicatedLog,
        "holdsLease" | "propose" | "readBarrier" | "askHolder" | "committedConfiguration"
    >;
    readonly state: ControlState;
    readonly service: Pick<ControlService, "awaitInForce">;
    readonly router: PeerRouter;
    readonly clock: Clock;
    readonly logger: Logger;
    /** No document is taken before so many voters keep the log. */
    readonly leastVoters: number;
}

/**
 * Replaces and reads the fleet document, at any control process.
 *
 * Guards against an acknowledged document that is lost: several hosts may lose their disks in the moment after. Before the cluster
 * has all its voters, a majority of them could be just those hosts, so nothing is acknowledged until it has.
 *
 * @example
 * const outcome = await desk.replace({ kind: "document.replace", document, source });
 */
export class DocumentDesk {
    constructor(private readonly options: DocumentDeskOptions) {
        options.router.add(REPLACE_METHOD, body => this.replaceHere(body as ReplaceDocumentCommand));
    }

    /**
     * Puts a document in force, unless its version is no higher than that of the one held.
     *
     * @returns Once it is committed; on the left, when that is not known.
     */
    async replace(command: ReplaceDocumentCommand): Promise<Either<DocumentUnavailableError, ReplaceDocumentResult>> {
        const { log, logger } = this.options;
        const { version } = command.document;
        try {
            const result = log.holdsLease() ? await this.replaceHere(command) : await this.askHolder(command);
            logger.info("document-taken", { version, state: result.state, revision: result.revision });
            return Right(result);
        }
        catch (err) {
            logger.warn("document-not-taken", { version, problem: (err as Error).message });
            return Left(new DocumentUnavailableError((err as Error).message));
        }
    }

    /**
     * Reads the document in force; undefined when there is none yet.
     *
     * @returns On the left, when this process can't be sure which one is the newest.
     */
    async read(): Promise<Either<DocumentUnavailableError, HeldDocument | undefined>> {
        const barrier = await this.options.log.readBarrier(READ_MS);
        return barrier
            .map(() => this.options.state.documents.held)
            .mapLeft(err => new DocumentUnavailableError(`no read: ${err.message}`));
    }

    private async askHolder(command: ReplaceDocumentCommand): Promise<ReplaceDocumentResult> {
        const answer = await this.options.log.askHolder(REPLACE_METHOD, command, HOLDER_MS);
        if (answer.isLeft()) throw answer.extract();
        return answer.unsafeCoerce() as ReplaceDocumentResult;
    }

    private async replaceHere(command: ReplaceDocumentCommand): Promise<ReplaceDocumentResult> {
        const { log, service, leastVoters } = this.options;
        const voters = log.committedConfiguration().members.filter(({ role }) => role === "voter").length;
        if (voters < leastVoters) throw new Error(`${voters} of ${leastVoters} voters keep the log so far`);
        const result = this.findSuperseding(command) ?? await this.commit(command);
        await service.awaitInForce(result.revision, IN_FORCE_MS);
        return result;
    }

    /** A document that is held already, or outdated, costs no entry of the log. */
    private findSuperseding({ document }: ReplaceDocumentCommand): ReplaceDocumentResult | undefined {
        const { log, state } = this.options;
        const { held } = state.documents;
        if (!log.holdsLease() || !held || held.document.version < document.version) return undefined;
        return { state: "superseded", revision: held.revision };
    }

    private async commit(command: ReplaceDocumentCommand): Promise<ReplaceDocumentResult> {
        const { log, clock } = this.options;
        const limit = new AbortController();
        const tooLate = clock.sleep(COMMIT_MS, limit.signal).then(() =>
            Left(new ProposeError("lost", true, undefined)) as Either<ProposeError, unknown>
        );
        const proposed = await Promise.race([log.propose(command), tooLate]);
        limit.abort();
        if (proposed.isLeft()) throw proposed.extract();
        return proposed.unsafeCoerce() as ReplaceDocumentResult;
    }
}
