import { Either } from "purify-ts";
import { ReplicatedLog } from "../../consensus/index.js";
import { PartId, RequestFingerprint } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import {
    LiftPartCommand,
    LiftQuarantineCommand,
    PartResult,
    QuarantinedPart,
    QuarantinedRequest,
    QuarantineResult,
} from "../../quarantine/index.js";
import { readThroughLog } from "../_lib/readThroughLog.js";
import { ControlState } from "../controlState/index.js";
import { ChangeUnavailableError, DurableChange, DurableChangeOptions } from "../durableChange/index.js";

/** Peer method that forwards the lifting of a quarantine to the holder; the body is a `LiftQuarantineCommand`. */
const LIFT_METHOD = "control.quarantine";
/** The same for parts of prompts; the body is a `LiftPartCommand`. */
const LIFT_PART_METHOD = "control.quarantine-part";

/** Options of `QuarantineService`. */
export interface QuarantineServiceOptions extends DurableChangeOptions {
    readonly log: DurableChangeOptions["log"] & Pick<ReplicatedLog, "readBarrier">;
    readonly state: ControlState;
    readonly logger: Logger;
}

/**
 * Lists quarantined requests and parts of prompts, and lifts quarantines; works at any control process.
 *
 * @example
 * const outcome = await service.lift(fingerprint);
 */
export class QuarantineService {
    private readonly submitter: DurableChange<LiftQuarantineCommand, QuarantineResult>;
    private readonly partSubmitter: DurableChange<LiftPartCommand, PartResult>;

    constructor(private readonly options: QuarantineServiceOptions) {
        this.submitter = new DurableChange(options, { method: LIFT_METHOD });
        this.partSubmitter = new DurableChange(options, { method: LIFT_PART_METHOD });
    }

    /**
     * Lifts the quarantine of a request, so that it may run again.
     *
     * @returns The result once it is committed; an error when it is not known to be.
     */
    async lift(fingerprint: RequestFingerprint): Promise<Either<ChangeUnavailableError, QuarantineResult>> {
        const { logger } = this.options;
        const outcome = await this.submitter.submit({ kind: "quarantine.lift", fingerprint });
        return outcome
            .ifRight(({ state, revision }) => logger.info("quarantine-lifted", { fingerprint, state, revision }))
            .ifLeft(err => logger.warn("quarantine-not-lifted", { fingerprint, problem: err.message }));
    }

    /**
     * Reads the quarantined requests.
     *
     * @returns The requests; an error when this process can't confirm that its state is up to date.
     */
    read(): Promise<Either<ChangeUnavailableError, readonly QuarantinedRequest[]>> {
        const { log, state } = this.options;
        return readThroughLog(log, () => state.quarantine.list());
    }

    /**
     * Lifts the quarantine of a part of prompts, so that requests with it may run again.
     *
     * @returns The result once it is committed; an error when it is not known to be.
     */
    async liftPart(part: PartId): Promise<Either<ChangeUnavailableError, PartResult>> {
        const { logger } = this.options;
        const outcome = await this.partSubmitter.submit({ kind: "parts.lift", part });
        return outcome
            .ifRight(({ state, revision }) => logger.info("part-quarantine-lifted", { part, state, revision }))
            .ifLeft(err => logger.warn("part-quarantine-not-lifted", { part, problem: err.message }));
    }

    /**
     * Reads the quarantined parts of prompts.
     *
     * @returns The parts; an error when this process can't confirm that its state is up to date.
     */
    readParts(): Promise<Either<ChangeUnavailableError, readonly QuarantinedPart[]>> {
        const { log, state } = this.options;
        return readThroughLog(log, () => state.parts.list());
    }
}
