import { Revision, ZoneId } from "../../ids/index.js";

/** Evacuates a zone: nothing more is sent to its upstreams. */
export interface EvacuateZoneCommand {
    readonly kind: "zone.evacuate";
    readonly zone: ZoneId;
}

/** Ends the evacuation of a zone. */
export interface RestoreZoneCommand {
    readonly kind: "zone.restore";
    readonly zone: ZoneId;
}

/** An operator's command for a zone. */
export type ZoneCommand = EvacuateZoneCommand | RestoreZoneCommand;

/** Result of a command. `unchanged`: the zone was already in the requested state. */
export interface ZoneResult {
    readonly state: "changed" | "unchanged";
    /** Revision from which on the current state of the zones is in force. */
    readonly revision: Revision;
}

/** A zone that is evacuated. */
export interface EvacuatedZone {
    readonly zone: ZoneId;
    /** Revision at which it was evacuated. */
    readonly revision: Revision;
}

/** State of the table in a snapshot of the log. */
export interface ZoneSnapshot {
    readonly revision: Revision;
    readonly evacuated: readonly EvacuatedZone[];
}

/**
 * Replicated table of the evacuated zones, maintained by commands of the control log. Commands carry no version: of two
 * commands for one zone the later one in the log holds. A command that requests the zone's current state changes
 * nothing, so that it can be sent again after a lost answer.
 *
 * @example
 * const result = table.apply({ kind: "zone.evacuate", zone }, context.index);
 */
export class EvacuationTable {
    private readonly evacuated = new Map<ZoneId, EvacuatedZone>();
    private latestRevision = 0 as Revision;

    /** Revision of the last change; 0 before the first. */
    get revision(): Revision {
        return this.latestRevision;
    }

    /** Returns the evacuated zones, ordered by name. */
    list(): readonly EvacuatedZone[] {
        return [...this.evacuated.values()].sort((a, b) => a.zone < b.zone ? -1 : 1);
    }

    isEvacuated(zone: ZoneId): boolean {
        return this.evacuated.has(zone);
    }

    /** @param index - Position of the command in the log. */
    apply(command: ZoneCommand, index: number): ZoneResult {
        const { kind, zone } = command;
        const shouldEvacuate = kind === "zone.evacuate";
        if (this.isEvacuated(zone) === shouldEvacuate) return { state: "unchanged", revision: this.latestRevision };
        this.latestRevision = index as Revision;
        if (shouldEvacuate) this.evacuated.set(zone, { zone, revision: this.latestRevision });
        else this.evacuated.delete(zone);
        return { state: "changed", revision: this.latestRevision };
    }

    snapshot(): ZoneSnapshot {
        return { revision: this.latestRevision, evacuated: this.list() };
    }

    /** @param snapshot - Undefined in snapshots that are older than the evacuation feature. */
    restore(snapshot: ZoneSnapshot | undefined): void {
        this.evacuated.clear();
        this.latestRevision = snapshot?.revision ?? 0 as Revision;
        for (const each of snapshot?.evacuated ?? []) this.evacuated.set(each.zone, each);
    }
}
