import { Revision, ZoneId } from "../../ids/index.js";

/** Lets nothing more be sent to a zone's upstreams. */
export interface EvacuateZoneCommand {
    readonly kind: "zone.evacuate";
    readonly zone: ZoneId;
}

/** Takes an evacuation back. */
export interface RestoreZoneCommand {
    readonly kind: "zone.restore";
    readonly zone: ZoneId;
}

/** An operator's order for a zone. */
export type ZoneCommand = EvacuateZoneCommand | RestoreZoneCommand;

/** `unchanged`: the zone was in the state asked for already. */
export interface ZoneResult {
    readonly state: "changed" | "unchanged";
    /** The revision from which on the zones' present state is in force. */
    readonly revision: Revision;
}

/** A zone that is evacuated. */
export interface EvacuatedZone {
    readonly zone: ZoneId;
    /** The revision that evacuated it. */
    readonly revision: Revision;
}

/** The evacuated zones, for a snapshot of the log. */
export interface ZoneSnapshot {
    readonly revision: Revision;
    readonly evacuated: readonly EvacuatedZone[];
}

/**
 * The evacuated zones, as the control log keeps them. Orders carry no version: of two for one zone the later in the log holds, and one
 * that asks for the state that a zone is in changes nothing, so that it may be sent again after a lost answer.
 *
 * @example
 * const result = book.apply({ kind: "zone.evacuate", zone }, context.index);
 */
export class ZoneBook {
    private readonly evacuated = new Map<ZoneId, EvacuatedZone>();
    private latest = 0 as Revision;

    /** The revision of the last change; 0 before the first. */
    get revision(): Revision {
        return this.latest;
    }

    /** The evacuated zones, in the order of their names. */
    list(): readonly EvacuatedZone[] {
        return [...this.evacuated.values()].sort((a, b) => a.zone < b.zone ? -1 : 1);
    }

    isEvacuated(zone: ZoneId): boolean {
        return this.evacuated.has(zone);
    }

    /** @param index - The position of the order in the log. */
    apply(command: ZoneCommand, index: number): ZoneResult {
        const { kind, zone } = command;
        const isWanted = kind === "zone.evacuate";
        if (this.isEvacuated(zone) === isWanted) return { state: "unchanged", revision: this.latest };
        this.latest = index as Revision;
        if (isWanted) this.evacuated.set(zone, { zone, revision: this.latest });
        else this.evacuated.delete(zone);
        return { state: "changed", revision: this.latest };
    }

    snapshot(): ZoneSnapshot {
        return { revision: this.latest, evacuated: this.list() };
    }

    /** @param snapshot - Undefined in snapshots of before there were evacuations. */
    restore(snapshot: ZoneSnapshot | undefined): void {
        this.evacuated.clear();
        this.latest = snapshot?.revision ?? 0 as Revision;
        for (const each of snapshot?.evacuated ?? []) this.evacuated.set(each.zone, each);
    }
}
