import { ApplyContext, StateMachine } from "../../consensus/index.js";
import { LogIndex } from "../../ids/index.js";

/** A promise of the control log that a run broke. */
export class InvariantError extends Error {}

/** The command that each index holds, as first applied anywhere. */
export class History {
    private readonly commands = new Map<LogIndex, string>();
    private readonly indexes = new Map<string, LogIndex>();

    /** Compares an applied command with what others applied at the same index, and with where it was applied before. */
    check(index: LogIndex, command: string): void {
        const known = this.commands.get(index) ?? command;
        if (known !== command) throw new InvariantError(`index ${index} holds ${known} and ${command}`);
        const place = this.indexes.get(command) ?? index;
        if (place !== index) throw new InvariantError(`${command} is applied at ${place} and ${index}`);
        this.commands.set(index, command);
        this.indexes.set(command, index);
    }

    indexOf(command: string): LogIndex | undefined {
        return this.indexes.get(command);
    }
}

type Applied = readonly [index: LogIndex, command: string];

/** Keeps every command applied, and checks it against all other replicas. */
export class Recorder extends StateMachine {
    private applied: Applied[] = [];

    /**
     * @param history - Shared by all replicas of a run.
     * @param onError - Told of a broken invariant; the log itself must not be disturbed by the check.
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
            this.history.check(index, command as string);
        });
        this.applied.push([index, command as string]);
        return index;
    }

    snapshot(): unknown {
        return this.applied;
    }

    restore(snapshot: unknown): void {
        const restored = snapshot as Applied[];
        this.guard(() => {
            if (restored.length < this.applied.length) throw new InvariantError("a snapshot took the state back");
            for (const [index, command] of restored) this.history.check(index, command);
        });
        this.applied = [...restored];
    }

    private guard(check: () => void): void {
        try {
            check();
        }
        catch (err) {
            this.onError(err);
        }
    }
}
