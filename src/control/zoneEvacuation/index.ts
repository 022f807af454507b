import { Either, Left } from "purify-ts";
import { ReplicatedLog } from "../../consensus/index.js";
import { ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { EvacuatedZone, ZoneCommand, ZoneResult } from "../../zone/index.js";
import { readThroughLog } from "../_lib/readThroughLog.js";
import { ControlState } from "../controlState/index.js";
import { ChangeUnavailableError, DurableChange, DurableChangeOptions } from "../durableChange/index.js";

/** Peer method that forwards a zone command to the holder; the body is a `ZoneCommand`. */
const ZONE_METHOD = "control.zone";

/** The command names a zone that is not in the settings. */
export class UnknownZoneError extends Error {}

/** Options of `ZoneEvacuation`. */
export interface ZoneEvacuationOptions extends DurableChangeOptions {
    readonly log: DurableChangeOptions["log"] & Pick<ReplicatedLog, "readBarrier">;
    readonly state: ControlState;
    readonly logger: Logger;
    /** Zones that may be evacuated; undefined: any. */
    readonly zones: readonly ZoneId[] | undefined;
}

/**
 * Evacuates and restores availability zones; works at any control process. The last zone may be evacuated too, if the operator orders it:
 * calls are then refused until a zone is restored.
 *
 * @example
 * const outcome = await evacuation.order({ kind: "zone.evacuate", zone });
 */
export class ZoneEvacuation {
    private readonly submitter: DurableChange<ZoneCommand, ZoneResult>;

    constructor(private readonly options: ZoneEvacuationOptions) {
        this.submitter = new DurableChange(options, { method: ZONE_METHOD });
    }

    /**
     * Evacuates or restores a zone.
     *
     * @returns The result once it is committed; an error when the commit is not confirmed or the zone is unknown.
     */
    async order(command: ZoneCommand): Promise<Either<ChangeUnavailableError | UnknownZoneError, ZoneResult>> {
        const { logger, zones } = this.options;
        const { kind, zone } = command;
        if (zones && !zones.includes(zone)) {
            logger.warn("zone-order-refused", { kind, zone, problem: "no such zone" });
            return Left(new UnknownZoneError(`there is no zone ${zone}`));
        }
        const outcome = await this.submitter.submit(command);
        return outcome
            .ifRight(({ state, revision }) => logger.info("zone-order-taken", { kind, zone, state, revision }))
            .ifLeft(err => logger.warn("zone-order-not-taken", { kind, zone, problem: err.message }));
    }

    /**
     * Reads the evacuated zones.
     *
     * @returns The zones; an error when this process can't confirm that its state is up to date.
     */
    read(): Promise<Either<ChangeUnavailableError, readonly EvacuatedZone[]>> {
        const { log, state } = this.options;
        return readThroughLog(log, () => state.zones.list());
    }
}
