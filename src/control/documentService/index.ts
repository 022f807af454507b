import { Either } from "purify-ts";
import { ReplicatedLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { ReplaceDocumentCommand, ReplaceDocumentResult, StoredDocument } from "../../routing/index.js";
import { readThroughLog } from "../_lib/readThroughLog.js";
import { ControlState } from "../controlState/index.js";
import { DurableChange, DurableChangeOptions } from "../durableChange/index.js";

/** Peer method that forwards a document to the holder; the body is a `ReplaceDocumentCommand`. */
const REPLACE_METHOD = "control.document";

/** The document could not be confirmed as replaced or up to date; the same call can be repeated at any control host. */
export class DocumentUnavailableError extends Error {}

/** Options of `DocumentService`. */
export interface DocumentServiceOptions extends DurableChangeOptions {
    readonly log: DurableChangeOptions["log"] & Pick<ReplicatedLog, "readBarrier">;
    readonly state: ControlState;
    readonly logger: Logger;
}

/**
 * Replaces and reads the fleet document; works at any control process.
 *
 * @example
 * const outcome = await documents.replace({ kind: "document.replace", document, source });
 */
export class DocumentService {
    private readonly submitter: DurableChange<ReplaceDocumentCommand, ReplaceDocumentResult>;

    constructor(private readonly options: DocumentServiceOptions) {
        this.submitter = new DurableChange(options, {
            method: REPLACE_METHOD,
            findKnownResult: command => this.findSuperseding(command),
        });
    }

    /**
     * Replaces the fleet document, unless its version is not higher than that of the document in force.
     *
     * @returns The result once it is committed; an error when it is not known to be.
     */
    async replace(command: ReplaceDocumentCommand): Promise<Either<DocumentUnavailableError, ReplaceDocumentResult>> {
        const { logger } = this.options;
        const { version } = command.document;
        const outcome = await this.submitter.submit(command);
        return outcome
            .ifRight(({ state, revision }) => logger.info("document-taken", { version, state, revision }))
            .ifLeft(err => logger.warn("document-not-taken", { version, problem: err.message }))
            .mapLeft(err => new DocumentUnavailableError(err.message));
    }

    /**
     * Reads the document in force.
     *
     * @returns The document, or undefined when there is none yet; an error when this process can't confirm which one is the latest.
     */
    async read(): Promise<Either<DocumentUnavailableError, StoredDocument | undefined>> {
        const { log, state } = this.options;
        const read = await readThroughLog(log, () => state.documents.current);
        return read.mapLeft(err => new DocumentUnavailableError(err.message));
    }

    /** A document that is already in force or outdated needs no log entry. */
    private findSuperseding({ document }: ReplaceDocumentCommand): ReplaceDocumentResult | undefined {
        const { current: held } = this.options.state.documents;
        if (!held || held.document.version < document.version) return undefined;
        return { state: "superseded", revision: held.revision };
    }
}
