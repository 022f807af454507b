import { ApplyContext, StateMachine } from "../../consensus/index.js";
import { LogIndex } from "../../ids/index.js";

/** A violation of one of the system's guarantees, found during a simulated run. */
export class InvariantError extends Error {}

/** The command at each log index, as first applied by any replica. */
export class History {
    private readonly commands = new Map<LogIndex, string>();
    private readonly indexes = new Map<string, LogIndex>();

    /**
     * Records an applied command.
     *
     * @throws InvariantError when another command was applied at this index, or the same command at another index.
     */
    recordApplied(index: LogIndex, command: string): void {
        const known = this.commands.get(index) ?? command;
        if (known !== command) throw new InvariantError(`index ${index} holds ${known} and ${command}`);
        const knownIndex = this.indexes.get(command) ?? index;
        if (knownIndex !== index) throw new InvariantError(`${command} is applied at ${knownIndex} and ${index}`);
        this.commands.set(index, command);
        this.indexes.set(command, index);
    }

    indexOf(command: string): LogIndex | undefined {
        return this.indexes.get(command);
    }
}

type AppliedCommand = readonly [index: LogIndex, command: string];

/** State machine that keeps all applied commands and checks them against those of the other replicas. */
export class RecordingStateMachine extends StateMachine {
    private applied: AppliedCommand[] = [];

    /**
     * @param history - Shared by all replicas of a run.
     * @param onError - Called with each violation; a check must not throw into the log that applies the command.
     */
    constructor(private readonly history: History, private readonly onError: (err: unknown) => void) {
        super();
    }

    get commands(): string[] {
        return this.applied.map(([, command]) => command);
    }

    apply(command: unknown, { index }: ApplyContext): unknown {
        this.guard(() => {
            const last = this.applied.at(-1)?.[0] ?? 0;
            if (index <= last) throw new InvariantError(`index ${index} is applied after ${last}`);
            this.history.recordApplied(index, command as string);
        });
        this.applied.push([index, command as string]);
        return index;
    }

    snapshot(): unknown {
        return this.applied;
    }

    restore(snapshot: unknown): void {
        const restored = snapshot as AppliedCommand[];
        this.guard(() => {
            if (restored.length < this.applied.length) throw new InvariantError("a snapshot took the state back");
            for (const [index, command] of restored) this.history.recordApplied(index, command);
        });
        this.applied = [...restored];
    }

    /** Passes an error of a check to `onError` instead of throwing it. */
    private guard(check: () => void): void {
        try {
            check();
        }
        catch (err) {
            this.onError(err);
        }
    }
}
