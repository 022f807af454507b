import { ProcessFleet } from "../fleet/index.js";
import { Program } from "../processes/index.js";

/** What is done to an entry's process. */
export interface EntryDisturbance {
    readonly entry: number;
    readonly kind:
        /** Its process stands still. */
        | "freeze"
        /** It is stopped as planned, and started again. */
        | "stop"
        /** Its process is killed, and started again. */
        | "kill";
    /** Length of a freeze, in milliseconds. */
    readonly durationMs: number;
}

/** From SIGTERM until a process that hangs is killed. */
const KILL_MS = 15_000;

/**
 * The entries of a fleet, which are frozen, stopped and killed, and start again after each end.
 *
 * @example
 * const entries = new DisturbedEntries(fleet.processes);
 * await entries.disturb({ kind: "freeze", entry: 0, durationMs: 500 });
 */
export class DisturbedEntries {
    /** Entries whose process ended without a signal that ends it. */
    readonly ended: number[] = [];
    private readonly programs: Program[] = [];
    /** Processes that were told to end. */
    private readonly ending = new Set<Program>();
    private isOpen = true;

    constructor(private readonly processes: ProcessFleet) {
        for (const [entry, program] of processes.entries.entries()) this.follow(entry, program);
    }

    /** Disturbs an entry; resolves when a freeze is over, or when the signal that ends the process is sent. */
    async disturb({ kind, entry, durationMs }: EntryDisturbance): Promise<void> {
        const program = this.processes.entries[entry];
        if (kind === "freeze") {
            program.signal("SIGSTOP");
            await new Promise(resolve => setTimeout(resolve, durationMs));
            return program.signal("SIGCONT");
        }
        const isStarted = program.stdout.includes("\"ready\"");
        if (!isStarted || this.ending.has(program)) return;
        this.ending.add(program);
        program.signal(kind === "kill" ? "SIGKILL" : "SIGTERM");
        const kill = setTimeout(() => program.signal("SIGKILL"), KILL_MS);
        void program.exited.then(() => clearTimeout(kill));
    }

    /** Returns the log lines of all entries' processes, also of those that have ended, that name a request. */
    findLogLines(request: string): string[] {
        const lines = this.programs.flatMap(({ stderr }) => stderr.split("\n"));
        return lines.filter(line => line.includes(`"${request}"`));
    }

    /** Starts no process any more. */
    close(): void {
        this.isOpen = false;
    }

    private follow(entry: number, program: Program): void {
        this.programs.push(program);
        void program.exited.then(() => {
            if (!this.isOpen) return;
            if (!this.ending.has(program)) this.ended.push(entry);
            this.follow(entry, this.processes.startEntry(entry));
        });
    }
}
