import { Either } from "purify-ts";
import { ControlClient, EntryCommand, EntryView, ViewCache } from "../../control/index.js";
import { KeyHash } from "../../ids/index.js";
import { WorkspaceView } from "../../workspace/index.js";
import { ControlAccess, ControlAccessError } from "../controlAccess/index.js";

/** Control access through a `ControlClient` and the view that it keeps up to date. */
export class FleetControl extends ControlAccess {
    private readonly listeners: (() => void)[] = [];

    constructor(private readonly client: ControlClient, private readonly cache: ViewCache) {
        super();
    }

    isFresh(): boolean {
        return this.client.isFresh();
    }

    findWorkspace(hash: KeyHash): WorkspaceView | undefined {
        return this.cache.findByKey(hash);
    }

    entries(): readonly EntryView[] {
        return this.client.entries;
    }

    async command(command: EntryCommand, timeoutMs: number): Promise<Either<ControlAccessError, unknown>> {
        const result = await this.client.command<unknown>(command, timeoutMs);
        return result.mapLeft(err => new ControlAccessError(err.mayHaveApplied, err.message));
    }

    onViewChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Called by the client when the view has changed. */
    viewChanged(): void {
        for (const listener of this.listeners) listener();
    }
}
